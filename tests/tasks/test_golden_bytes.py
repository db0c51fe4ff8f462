"""Tests that messages and stored values of singleton tasks keep the encoding that other releases use."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from tests.support.encodings import assert_same_bytes, fixtures
from zincladder.consensus.key_value_state import CompareAndSwap
from zincladder.export import fleet_metrics
from zincladder.leases.model import NotLeaderReply
from zincladder.tasks import model
from zincladder.tasks.counter_sums import FleetTotals, decode_totals, encode_totals
from zincladder.tasks.model import (
    Assigned,
    FromLeaseManager,
    FromRunner,
    LeaseGranted,
    Offer,
    ReleaseLease,
    RenewLease,
    ReportCounters,
    Revoke,
    TaskAssignment,
    write_checkpoint,
)

FROM_RUNNER = {
    "wants": Offer(("figures", "other")),
    "wants-none": Offer(()),
    "keeps": RenewLease(9, (("figures", 41), ("other", 7))),
    "keeps-none": RenewLease(1, ()),
    "gives-back": ReleaseLease("figures", 41),
    "tells": ReportCounters({"zincladder_fleet_class_answers_total\0page\0ok": 12.0, "b": 0.5}),
}
FROM_LEADER = {
    "yours": Assigned("figures", 41),
    "lent": LeaseGranted(9, (("figures", 41),), 4.75, 1.0),
    "lent-none": LeaseGranted(1, (), 4.75, 1.0),
    "stop": Revoke("figures", 41),
    "elsewhere": NotLeaderReply("k2"),
}
ASSIGNMENTS = {
    "never-taken": TaskAssignment(),
    "owned": TaskAssignment("f1", "0a1b2c3d", 1733216400.25),
    "paused": TaskAssignment(changed_at=1733216400.25, paused=True, vacancy_reason="paused"),
    "wished": TaskAssignment("", "", 1733216400.25, False, "f2", "to be moved to f2"),
}
TOTALS = {
    "none": FleetTotals(),
    "some": FleetTotals(1733216400000, "k1/7", {"a\0x": 3.0, "b": 1.5}, {"a\0x": 10.0, "b": 2.5, "c": 1.0}),
}
WRITES = {
    "checkpoint": write_checkpoint("figures", 41, 40, b"progress"),
    "checkpoint-first": write_checkpoint("figures", 3, 0, b""),
    "owner": CompareAndSwap(model.task_key("figures"), 40, msgspec.msgpack.encode(ASSIGNMENTS["owned"])),
}


@pytest.mark.parametrize("name", FROM_RUNNER)
def test_messages_of_a_runner(name: str) -> None:
    assert_same_bytes(fixtures("task_from_process.txt")[name], FROM_RUNNER[name], FromRunner)


@pytest.mark.parametrize("name", FROM_LEADER)
def test_messages_of_the_leader(name: str) -> None:
    assert_same_bytes(fixtures("task_from_leader.txt")[name], FROM_LEADER[name], FromLeaseManager)


@pytest.mark.parametrize("name", ASSIGNMENTS)
def test_values_of_a_task_assignment(name: str) -> None:
    assert_same_bytes(fixtures("task_registers.txt")[name], ASSIGNMENTS[name], TaskAssignment)


@pytest.mark.parametrize("name", WRITES)
def test_writes_of_stored_values(name: str) -> None:
    assert_same_bytes(fixtures("task_swaps.txt")[name], WRITES[name], CompareAndSwap)


@pytest.mark.parametrize("name", TOTALS)
def test_checkpoints_of_the_fleets_totals(name: str) -> None:
    assert_same_bytes(fixtures("task_totals.txt")[name], TOTALS[name], FleetTotals)
    stored = fixtures("task_totals_packed.txt")[name]
    assert (
        decode_totals(stored) == TOTALS[name] and decode_totals(encode_totals(TOTALS[name])) == TOTALS[name]
    )


def test_each_fixture_is_checked_and_each_message_has_one() -> None:
    checked: dict[str, dict[str, Any]] = {
        "task_from_process.txt": FROM_RUNNER,
        "task_from_leader.txt": FROM_LEADER,
        "task_registers.txt": ASSIGNMENTS,
        "task_swaps.txt": WRITES,
        "task_totals.txt": TOTALS,
        "task_totals_packed.txt": TOTALS,
    }
    for file, values in checked.items():
        assert fixtures(file).keys() == values.keys()
    assert {type(message) for message in FROM_RUNNER.values()} == set(FromRunner.__args__)
    assert {type(message) for message in FROM_LEADER.values()} == set(FromLeaseManager.__args__)


def test_stored_keys_and_names_of_the_push() -> None:
    assert (model.TASK_PREFIX, model.CHECKPOINT_PREFIX) == ("duty/", "progress/")
    assert (model.task_key("a"), model.checkpoint_key("a")) == ("duty/a", "progress/a")
    assert (fleet_metrics.FENCE_HEADER, fleet_metrics.HTTP_STATUS_FENCED) == ("X-Zincladder-Fence", 409)
    assert (
        fleet_metrics.series_key(fleet_metrics.FLEET_ANSWERS_METRIC, "page", "ok")
        == "zincladder_fleet_class_answers_total\0page\0ok"
    )
    assert (
        fleet_metrics.series_key(fleet_metrics.FLEET_ATTEMPTS_METRIC, "c", "ok")
        == "zincladder_fleet_cache_attempts_total\0c\0ok"
    )
