"""Tests that a policy's messages and stored values keep the encoding that other releases use."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from tests.support.encodings import assert_same_bytes, fixtures
from zincladder.consensus.key_value_state import CompareAndSwap
from zincladder.consensus.lease_timing import LEASE_TIMING_KEY, LeaseTiming
from zincladder.leases.model import NotLeaderReply
from zincladder.policy import change_log, model
from zincladder.policy.model import (
    ChangeLogEntry,
    ChangeOutcome,
    ChangePhase,
    DocumentContent,
    DocumentValidated,
    FetchDocument,
    FromCoordinator,
    FromParticipant,
    PolicyChange,
    PolicyLeaseGranted,
    PolicyLeaseReleased,
    PolicyRecord,
    RenewalDeferred,
    RenewPolicyLease,
    RevokePolicyLease,
    ValidateDocument,
)

CHANGE = PolicyChange(8, "d8", "ana", "a note", 1733216400.25)
ACTIVATED = ChangeLogEntry(6, "d6", "ana", "", 1733216100.5, ChangeOutcome.ACTIVATED)
WITHDRAWN = ChangeLogEntry(
    7, "d7", "ben", "why", 1733216200.0, ChangeOutcome.WITHDRAWN, ("f1: it can't",), ("f2", "f3")
)

FROM_FRONT = {
    "renew": RenewPolicyLease(7, "d1"),
    "renew-first": RenewPolicyLease(1),
    "checked": DocumentValidated(3, "d3", ("it can't", "nor this")),
    "checked-yes": DocumentValidated(3, "d3"),
    "released": PolicyLeaseReleased(2, 9),
    "fetch": FetchDocument("d4"),
}
FROM_LEADER = {
    "granted": PolicyLeaseGranted(7, 3, "d3", 4.95, 1.0),
    "waits": RenewalDeferred(7),
    "check": ValidateDocument(3, "d3", b'{"settings":{}}'),
    "release": RevokePolicyLease(3),
    "delivered": DocumentContent("d3", b'{"operator":{}}'),
    "elsewhere": NotLeaderReply("k2"),
    "elsewhere-unknown": NotLeaderReply(""),
}
RECORDS = {
    "none": PolicyRecord(),
    "first": PolicyRecord(1, "d1"),
    "checking": PolicyRecord(6, "d6", CHANGE, (), (ACTIVATED, WITHDRAWN)),
    "decided": PolicyRecord(
        6, "d6", msgspec.structs.replace(CHANGE, phase=ChangePhase.DECIDED), ("f9",), (ACTIVATED,)
    ),
    "clearing": PolicyRecord(
        6, "d6", msgspec.structs.replace(CHANGE, phase=ChangePhase.REVOKING), ("f9",), ()
    ),
    "history": PolicyRecord(6, "d6", None, (), (ACTIVATED, WITHDRAWN)),
}
WRITES = {
    "record": change_log.write_record(12, RECORDS["history"]),
    "document": change_log.write_document(b'{"settings":{"ceilings":{"attemptsCap":3}}}'),
    "expected-front": change_log.write_expected_front("f1"),
}
LEASE_TIMINGS = {
    "standard": LeaseTiming(),
    "given": LeaseTiming(2.5, 0.5, 0.1, 1.0, 0.4, 0.6, 12.0, 0.3),
}


@pytest.mark.parametrize("name", FROM_FRONT)
def test_messages_of_a_front(name: str) -> None:
    assert_same_bytes(fixtures("policy_from_front.txt")[name], FROM_FRONT[name], FromParticipant)


@pytest.mark.parametrize("name", FROM_LEADER)
def test_messages_of_the_leader(name: str) -> None:
    assert_same_bytes(fixtures("policy_from_leader.txt")[name], FROM_LEADER[name], FromCoordinator)


@pytest.mark.parametrize("name", RECORDS)
def test_values_of_the_policy_record(name: str) -> None:
    assert_same_bytes(fixtures("policy_records.txt")[name], RECORDS[name], PolicyRecord)


@pytest.mark.parametrize("name", WRITES)
def test_writes_of_stored_values(name: str) -> None:
    assert_same_bytes(fixtures("policy_swaps.txt")[name], WRITES[name], CompareAndSwap)


@pytest.mark.parametrize("name", LEASE_TIMINGS)
def test_values_of_the_lease_timing(name: str) -> None:
    assert_same_bytes(fixtures("lease_terms.txt")[name], LEASE_TIMINGS[name], LeaseTiming)


def test_each_fixture_is_checked_and_each_message_has_one() -> None:
    checked: dict[str, dict[str, Any]] = {
        "policy_from_front.txt": FROM_FRONT,
        "policy_from_leader.txt": FROM_LEADER,
        "policy_records.txt": RECORDS,
        "policy_swaps.txt": WRITES,
        "lease_terms.txt": LEASE_TIMINGS,
    }
    for file, values in checked.items():
        assert fixtures(file).keys() == values.keys()
    assert {type(message) for message in FROM_FRONT.values()} == set(FromParticipant.__args__)
    assert {type(message) for message in FROM_LEADER.values()} == set(FromCoordinator.__args__)


def test_stored_keys_and_enum_values() -> None:
    assert (model.POLICY_KEY, model.DOCUMENT_PREFIX, model.EXPECTED_FRONT_PREFIX, LEASE_TIMING_KEY) == (
        "policy",
        "document/",
        "front/",
        "terms",
    )
    assert [phase.value for phase in ChangePhase] == ["checking", "decided", "clearing"]
    assert [outcome.value for outcome in ChangeOutcome] == ["held", "withdrawn"]
    assert model.document_id(b"{}") == "44136fa355b3678a1146ad16f7e8649e"
