"""The operating day: classes that come and go, new settings while requests are open, a coordinator lost."""

from __future__ import annotations

from typing import Any

import anyio
import anyio.abc
import anyio.lowlevel
import pytest

from tests.conftest import ORIGIN_MEMBER, Driver, cache, finals, get, sends, settings
from tests.processes import free_port
from zincladder.core.request_classes import REMOVED_CLASS_SECONDS, RequestClasses
from zincladder.core.statistics import MAX_CLASSES, Statistics
from zincladder.net.feed import Feed
from zincladder.routing import interface as api

pytestmark = pytest.mark.anyio
READ = api.RequestClass(latency_objective=0.3, timeout=2.0)
WRITE = api.RequestClass(
    latency_objective=0.3, timeout=2.0, idempotency=api.Idempotency.NONE, uncacheable=True
)


def test_classes_that_come_and_go_all_day_are_bounded_in_the_figures() -> None:
    figures = Statistics()
    for i in range(10 * MAX_CLASSES):
        figures.retain_classes([f"c{i}", "page"], ())
        figures.record_answer(f"c{i}", "served")
        figures.record_answer("page", "served")
    assert len(figures.classes) <= MAX_CLASSES + 2 and len(figures.answers) <= MAX_CLASSES + 2
    assert figures.answers["page", "served"] == 10 * MAX_CLASSES


# New settings -------------------------------------------------------------------------------------


def test_an_open_request_keeps_its_number_and_rules_through_any_change() -> None:
    table = RequestClasses(["page", "scan"], [READ, READ])
    assert table.replace(["page", "scan"], [READ, WRITE], {1}, 0.0) == (0, 1, 1)
    assert table.number_of("scan", 0.0) == 2 and table.rules[1] == READ and table.rules[2] == WRITE
    assert table.replace(["page"], [READ], {1}, 10.0) == (0, 1, 2)  # dropped, with a request open under 1
    assert (
        table.number_of("scan", 10.0 + REMOVED_CLASS_SECONDS / 2) == 2
        and table.number_of("scan", 10.0 + REMOVED_CLASS_SECONDS) is None
    )
    # Back again as a read: never under the number that an open request holds, nor the one that rests.
    table.replace(["page", "scan"], [READ, READ], {1}, 11.0)
    assert table.number_of("scan", 11.0) == 3 and (table.names[1], table.rules[1]) == ("scan", READ)


def test_numbers_are_used_again_once_nothing_holds_them() -> None:
    table = RequestClasses(["page"], [READ])
    for i in range(100):
        table.replace(["page", f"c{i}"], [READ, READ], set(), i * 2 * REMOVED_CLASS_SECONDS)
    assert len(table.names) <= 3 and table.current["c99"] < 3 and table.current["page"] == 0


def test_the_router_keeps_attempts_and_effect_of_what_is_open_and_what_it_has_learned() -> None:
    d = Driver(max_attempts=4)
    for n in range(1, 20):
        d.serve(n, key=n, request_class=1, kb=50.0)
    learned = d.state.transfer_times[1].mean_seconds
    sent = get(d.ask(100, request_class=0))
    fewer = settings(max_attempts=1, classes=(*d.state.settings.classes[:3], READ, WRITE))
    d.give(api.SettingsChanged(fewer, (0, 1, 2, -1, -1)))
    assert (
        d.state.transfer_times[1].mean_seconds == learned > 0 and d.state.transfer_times[3].mean_seconds == 0
    )
    again = sends(d.end(100, 0, sent.endpoint, api.AttemptOutcome.UNREACHABLE))
    assert len(again) == 1  # it was taken when four were allowed
    first = get(d.ask(101, request_class=0))
    assert finals(d.end(101, 0, first.endpoint, api.AttemptOutcome.UNREACHABLE))  # one now
    write = sends(d.ask(102, request_class=4))
    assert [a.endpoint for a in write] == [ORIGIN_MEMBER.id]
    assert isinstance(finals(d.end(102, 0, ORIGIN_MEMBER.id, api.AttemptOutcome.RESET))[0], api.Fail)


def test_a_process_more_at_this_front_halves_what_a_cold_cache_is_sent() -> None:
    def sent(processes: int) -> int:
        d = Driver([cache(0, started_at=99.0), ORIGIN_MEMBER], may_bypass_caches=False)
        s = d.state.settings
        seats = (0, s.routers_by_zone[1] + 2 * (processes - 1), 2)
        d.give(api.SettingsChanged(settings(may_bypass_caches=False, routers_by_zone=seats), tuple(range(4))))
        count = 0
        for n in range(400):
            d.now += 0.01
            count += bool(sends(d.ask(n, key=n, kb=30.0)))
        return count

    assert sent(1) > 0 and sent(2) == pytest.approx(sent(1) / 2, rel=0.2)


async def test_fronts_that_lose_the_coordinator_come_back_at_moments_of_their_own(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    tries: dict[int, list[float]] = {}
    for seed in (1, 2):
        slept = tries[seed] = []
        with anyio.CancelScope() as scope:

            async def sleep(seconds: float, slept: list[float] = slept, scope: Any = scope) -> None:
                slept.append(seconds)
                if len(slept) == 6:
                    scope.cancel()
                await anyio.lowlevel.checkpoint()

            monkeypatch.setattr(anyio, "sleep", sleep)
            await Feed(("127.0.0.1", free_port()), 1, lambda news: None, seed).run()
    first, second = tries[1], tries[2]
    assert len(first) == len(second) == 6 and not set(first) & set(second)
    assert 0.2 <= first[-1] <= 0.6 and all(0.02 < s < 0.7 for s in first + second)
