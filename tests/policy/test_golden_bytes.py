"""The bytes of a policy's messages and registers, which processes of other versions read and write."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from tests.golden import assert_same_bytes, fixtures
from zincladder.agreement.registers import Swap
from zincladder.agreement.terms import TERMS, Terms
from zincladder.policy import book, model
from zincladder.policy.model import (
    Change,
    Check,
    Checked,
    Delivered,
    Elsewhere,
    Fetch,
    FromFront,
    FromKeeper,
    Granted,
    Outcome,
    Past,
    Phase,
    Record,
    Release,
    Released,
    Renew,
    Waits,
)

CHANGE = Change(8, "d8", "ana", "a note", 1733216400.25)
HELD = Past(6, "d6", "ana", "", 1733216100.5, Outcome.HELD)
WITHDRAWN = Past(7, "d7", "ben", "why", 1733216200.0, Outcome.WITHDRAWN, ("f1: it can't",), ("f2", "f3"))

FROM_FRONT = {
    "renew": Renew(7, "d1"),
    "renew-first": Renew(1),
    "checked": Checked(3, "d3", ("it can't", "nor this")),
    "checked-yes": Checked(3, "d3"),
    "released": Released(2, 9),
    "fetch": Fetch("d4"),
}
FROM_LEADER = {
    "granted": Granted(7, 3, "d3", 4.95, 1.0),
    "waits": Waits(7),
    "check": Check(3, "d3", b'{"settings":{}}'),
    "release": Release(3),
    "delivered": Delivered("d3", b'{"operator":{}}'),
    "elsewhere": Elsewhere("k2"),
    "elsewhere-unknown": Elsewhere(""),
}
RECORDS = {
    "none": Record(),
    "first": Record(1, "d1"),
    "checking": Record(6, "d6", CHANGE, (), (HELD, WITHDRAWN)),
    "decided": Record(6, "d6", msgspec.structs.replace(CHANGE, phase=Phase.DECIDED), ("f9",), (HELD,)),
    "clearing": Record(6, "d6", msgspec.structs.replace(CHANGE, phase=Phase.CLEARING), ("f9",), ()),
    "history": Record(6, "d6", None, (), (HELD, WITHDRAWN)),
}
SWAPS = {
    "record": book.record_swap(12, RECORDS["history"]),
    "document": book.document_swap(b'{"settings":{"ceilings":{"attemptsCap":3}}}'),
    "expected-front": book.expected_swap("f1"),
}
LEASE_TERMS = {
    "standard": Terms(),
    "given": Terms(2.5, 0.5, 0.1, 1.0, 0.4, 0.6, 12.0, 0.3),
}


@pytest.mark.parametrize("name", FROM_FRONT)
def test_messages_of_a_front(name: str) -> None:
    assert_same_bytes(fixtures("policy_from_front.txt")[name], FROM_FRONT[name], FromFront)


@pytest.mark.parametrize("name", FROM_LEADER)
def test_messages_of_the_leader(name: str) -> None:
    assert_same_bytes(fixtures("policy_from_leader.txt")[name], FROM_LEADER[name], FromKeeper)


@pytest.mark.parametrize("name", RECORDS)
def test_values_of_the_policy_register(name: str) -> None:
    assert_same_bytes(fixtures("policy_records.txt")[name], RECORDS[name], Record)


@pytest.mark.parametrize("name", SWAPS)
def test_writes_of_registers(name: str) -> None:
    assert_same_bytes(fixtures("policy_swaps.txt")[name], SWAPS[name], Swap)


@pytest.mark.parametrize("name", LEASE_TERMS)
def test_values_of_the_terms_register(name: str) -> None:
    assert_same_bytes(fixtures("lease_terms.txt")[name], LEASE_TERMS[name], Terms)


def test_each_fixture_is_checked_and_each_message_has_one() -> None:
    checked: dict[str, dict[str, Any]] = {
        "policy_from_front.txt": FROM_FRONT,
        "policy_from_leader.txt": FROM_LEADER,
        "policy_records.txt": RECORDS,
        "policy_swaps.txt": SWAPS,
        "lease_terms.txt": LEASE_TERMS,
    }
    for file, values in checked.items():
        assert fixtures(file).keys() == values.keys()
    assert {type(message) for message in FROM_FRONT.values()} == set(FromFront.__args__)
    assert {type(message) for message in FROM_LEADER.values()} == set(FromKeeper.__args__)


def test_keys_of_registers_and_stored_words() -> None:
    assert (model.RECORD, model.DOCUMENTS, model.ROSTER, TERMS) == ("policy", "document/", "front/", "terms")
    assert [phase.value for phase in Phase] == ["checking", "decided", "clearing"]
    assert [outcome.value for outcome in Outcome] == ["held", "withdrawn"]
    assert model.document_id(b"{}") == "44136fa355b3678a1146ad16f7e8649e"
