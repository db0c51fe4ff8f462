"""Each departure from the ring: when it acts, and that it ends with its cause."""

from __future__ import annotations

import itertools
import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from tests.conftest import FLEET, Driver, cache, finals, get, parent, sends
from zincladder.routing import interface as api
from zincladder.routing.ring import ring_position

R, N = api.AttemptOutcome, api.FillOutcome
HIT = api.FillOutcome.HIT


def fail_until_off(d: Driver, endpoint: bytes, result: api.AttemptOutcome = R.UNREACHABLE) -> int:
    """Fails every attempt at a member until it is set aside; gives the number of failures."""
    failures = 0
    for n in range(1, 2000):
        sent = get(d.ask(n, key=n, kb=10.0))
        attempt = 0
        while sent.endpoint == endpoint:
            failures += 1
            sent, attempt = get(d.end(n, attempt, endpoint, result)), attempt + 1
        d.end(n, attempt, sent.endpoint, R.OK, True, fill_outcome=HIT)
        if d.endpoints.stats[endpoint].is_ejected:
            return failures
    raise AssertionError("never set aside")


def walk_of(d: Driver, key: int) -> list[bytes]:
    return list(d.endpoints.caches.walk(ring_position(key.to_bytes(8, "big"))))


def load(d: Driver, out: int) -> None:
    """As if so many attempts of this router were out at each cache."""
    for i in d.endpoints.caches.ids:
        d.endpoints.track_in_flight(d.endpoints.stats[i], out - d.endpoints.stats[i].in_flight)


def homes_of(d: Driver, start: int = 5000, count: int = 300) -> set[bytes]:
    return {d.serve(n, key=n).endpoint for n in range(start, start + count)}


@pytest.mark.parametrize("result", [R.ERROR, R.RESET])
def test_a_request_that_cannot_be_used_or_was_cut_off_is_not_held_against_its_cache(
    result: api.AttemptOutcome,
) -> None:
    # guards the caches against bad clients, whose requests all answer with errors, and spoilt answers
    d = Driver()
    homes = homes_of(d)
    for n in range(1, 60):
        sent, attempt = get(d.ask(n, key=n)), 0
        while not finals(actions := d.end(n, attempt, sent.endpoint, result)):
            sent, attempt = get(actions), attempt + 1
        assert attempt + 1 == (2 if result is R.ERROR else 4)
    assert not any(stats.is_ejected for stats in d.endpoints.stats.values()) and homes_of(d) == homes


def test_a_request_that_was_cut_off_goes_to_its_own_cache_once_more() -> None:
    d = Driver()
    own = get(d.ask(1, key=1)).endpoint
    assert get(d.end(1, 0, own, R.RESET)).endpoint == own
    assert get(d.end(1, 1, own, R.RESET)).endpoint != own


def test_a_failing_member_is_set_aside_after_a_few_failures_whatever_their_kind() -> None:
    for result in (R.UNREACHABLE, R.TIMED_OUT, R.REJECTED):
        d = Driver()
        assert fail_until_off(d, b"cache1", result) <= 4
        assert b"cache1" not in homes_of(d)


def test_one_trial_brings_a_member_back_and_a_failed_one_waits_again() -> None:
    d = Driver()
    fail_until_off(d, b"cache1")
    d.now += 2.01
    asked = []
    for n in range(5000, 5300):
        sent = get(d.ask(n, key=n))
        if sent.endpoint == b"cache1":
            asked.append(n)
        else:
            d.end(n, 0, sent.endpoint, R.OK, True, fill_outcome=HIT)
    assert len(asked) == 1  # a single request tries it
    d.end(asked[0], 0, b"cache1", R.UNREACHABLE)
    d.now += 1.9
    assert b"cache1" not in homes_of(d, 6000)
    d.now += 0.2
    assert b"cache1" in homes_of(d, 7000)


def test_a_new_start_time_brings_a_member_back() -> None:
    d = Driver()
    fail_until_off(d, b"cache1")
    d.change(cache(1, started_at=50.0))
    assert b"cache1" in homes_of(d)


def test_a_fault_of_the_whole_location_does_not_empty_the_ring() -> None:
    d = Driver()
    for n in range(1, 200):
        actions, attempt = d.ask(n, key=n), 0
        while sends(actions):
            actions = d.end(n, attempt, sends(actions)[0].endpoint, R.UNREACHABLE)
            attempt += 1
    assert sum(d.endpoints.stats[i].is_ejected for i in d.endpoints.caches.ids) == 2  # half of four
    assert len(homes_of(d)) >= 2


def test_a_failed_source_is_blamed_and_the_cache_is_not() -> None:
    d = Driver()
    first = get(d.ask(1))
    again = get(d.end(1, 0, first.endpoint, R.REJECTED, fill_outcome=N.SOURCE_FAILED))
    assert again.endpoint == first.endpoint and again.source != first.source
    asked = 1
    for n in range(2, 100):  # the next source is asked more and more before it is off
        if get(d.ask(n)).source == first.source and asked < 3:
            d.end(n, 0, first.endpoint, R.REJECTED, fill_outcome=N.SOURCE_FAILED)
            asked += 1
    assert asked == 3
    assert d.endpoints.stats[first.source].is_ejected and not d.endpoints.stats[first.endpoint].is_ejected


def patience_over(report: tuple[float, ...], heard: str) -> tuple[Driver, api.Fetch, list[api.Action]]:
    """Lets an attempt's patience run out; meanwhile the cache, and maybe the source, answers another."""
    d = Driver(report_names=("link",))
    actions = d.ask(1)
    sent = get(actions)
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    d.now += timer.delay / 2
    if heard:
        d.ask(2)
        note = N.FILLED if heard == "both" else N.HIT
        d.end(2, 0, sent.endpoint, R.OK, True, fill_outcome=note, report=report)
    d.now += timer.delay / 2
    return d, sent, d.give(api.TimerFired(timer.token))


def test_silence_is_told_from_a_slow_answer_by_other_answers() -> None:
    assert patience_over((0.0,), "")[2] == [api.Cancel(1, 0)]
    assert [type(a) for a in patience_over((0.0,), "both")[2]] == [api.SetTimer]


def test_an_attempt_with_a_quiet_source_runs_on_and_the_source_is_not_judged() -> None:
    # with few fills at each router healthy parents looked silent, all were set aside and the origin fell
    d, sent, actions = patience_over((0.0,), "cache")
    assert [type(a) for a in actions] == [api.SetTimer]
    assert d.endpoints.stats[sent.source].failure_rate == 0.0


def test_a_stale_or_unknown_timer_changes_nothing() -> None:
    d = Driver()
    actions = d.ask(1)
    d.end(1, 0, get(actions).endpoint, R.OK, True)
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    assert d.give(api.TimerFired(timer.token)) == [] == d.give(api.TimerFired(987654))


def test_a_hot_object_spills_to_its_next_point_and_fills_from_its_home() -> None:
    d = Driver()
    homes = [get(d.ask(n, key=7)) for n in range(1, 12)]
    first, last = homes[0], homes[-1]
    assert len({h.endpoint for h in homes[:4]}) == 1  # 4 of 8 transfers
    assert last.endpoint != first.endpoint and last.source == first.endpoint
    missed = get(d.end(11, 0, last.endpoint, R.MISS, fill_outcome=N.SOURCE_MISS))
    assert missed.endpoint == last.endpoint and missed.source == first.source


def test_slow_fills_everywhere_do_not_move_objects() -> None:
    d = Driver()
    walk = walk_of(d, 7)
    load(d, 6)  # all caches alike are crowded beyond SPILL, none beyond FULL
    assert get(d.ask(1, key=7)).endpoint == walk[0]


def test_with_every_cache_past_its_link_the_largest_are_refused_at_once() -> None:
    d = Driver()
    for n in range(100, 150):
        d.serve(n, key=n, kb=100.0)
    load(d, 10)
    assert finals(d.ask(1, kb=1000.0)) == [api.Reject(1, 0.5)]
    assert not finals(d.ask(2, kb=10.0))
    load(d, 2)
    assert not finals(d.ask(3, kb=1000.0))


def test_a_returned_cache_fills_from_the_cache_that_stood_in() -> None:
    d = Driver()
    walk = walk_of(d, 7)
    back = int(walk[0][-1:])
    d.change(cache(back, started_at=d.now))
    d.ask(99, key=7)
    d.now += 1.0  # its first debt is worked off
    sent = get(d.ask(1, key=7))
    assert (sent.endpoint, sent.source) == (walk[0], walk[1])
    d.now += 11.0  # warm: the ordinary path again
    assert get(d.ask(2, key=7)).source.startswith(b"paren")


def full_link() -> Driver:
    d = Driver(report_names=("link",))
    for n in range(100, 150):
        d.serve(n, key=n, kb=100.0)
    first = get(d.ask(1, key=1))
    d.end(1, 0, first.endpoint, R.OK, True, fill_outcome=HIT, report=(5.0,))
    return d


def test_a_full_link_looks_first_and_refuses_the_largest_misses() -> None:
    d = full_link()
    look = get(d.ask(2, key=2, kb=1000.0))
    assert look.source == look.endpoint
    assert finals(d.end(2, 0, look.endpoint, R.MISS, fill_outcome=N.SOURCE_MISS)) == [api.Reject(2, 0.5)]
    cheap = get(d.ask(3, key=2, kb=10.0))
    filled = get(d.end(3, 0, cheap.endpoint, R.MISS, fill_outcome=N.SOURCE_MISS))
    assert filled.endpoint == cheap.endpoint and filled.source.startswith(b"paren")
    joined = get(d.ask(4, key=2, kb=1000.0))
    assert get(d.end(4, 0, joined.endpoint, R.MISS, fill_outcome=N.COALESCED)).coalesce


def test_the_guard_of_the_link_ends_with_its_cause() -> None:
    d = full_link()
    sent = get(d.ask(2, key=2))
    d.end(2, 0, sent.endpoint, R.OK, True, fill_outcome=HIT, report=(1.0,))
    assert get(d.ask(3, key=3, kb=1000.0)).source.startswith(b"paren")


def test_reports_of_parents_or_of_odd_length_say_nothing_of_the_link() -> None:
    d = Driver(report_names=("link",))
    sent = get(d.ask(1))
    d.end(1, 0, sent.endpoint, R.OK, True, report=(9.0, 9.0))
    d.give(api.ProbeEnded(b"paren0", R.OK, 0.1, (9.0,)))
    assert d.state.location_link_load == 0.0
    d.give(api.ProbeEnded(b"cache0", R.OK, 0.1, (9.0,)))
    assert d.state.location_link_load == 9.0


def test_load_told_by_probes_only_is_probed_for_and_otherwise_never() -> None:
    d = Driver(report_names=("link",), load_by_health_check=True, probes=True)
    tokens = list(d.router.timers)
    assert len(tokens) == 1
    d.now += 0.5
    actions = d.give(api.TimerFired(tokens[0]))
    assert [type(a) for a in actions] == [api.Probe, api.SetTimer]
    assert not Driver(report_names=("link",), load_by_health_check=True).router.timers
    assert not Driver(report_names=("link",), probes=True).router.timers


@pytest.mark.parametrize("off", [{"probes": False}, {"load_by_health_check": False}])
def test_new_settings_begin_and_end_the_probes(off: dict[str, Any]) -> None:
    d = Driver(report_names=("link",), load_by_health_check=True, probes=True)
    probed = d.state.settings
    same = tuple(range(len(probed.classes)))
    d.give(api.SettingsChanged(replace(probed, **off), same))
    (token,) = d.router.timers
    d.now += 0.5
    assert d.give(api.TimerFired(token)) == [] and not d.router.timers  # they are not permitted any more
    assert [type(a) for a in d.give(api.SettingsChanged(probed, same))] == []
    d.change(cache(1))
    (token,) = d.router.timers  # one round, by the first event under such settings
    d.now += 0.5
    assert [type(a) for a in d.give(api.TimerFired(token))] == [api.Probe, api.SetTimer]
    d.change(cache(1))
    assert len(d.router.timers) == 1


def test_with_all_caches_gone_requests_pass_by_where_that_is_allowed() -> None:
    endpoints = (parent(0), parent(1), FLEET[-1])
    sent = get(Driver(endpoints).ask(1))
    assert sent.endpoint.startswith(b"paren") and sent.source == b"origin" and sent.cache_rank == 0
    assert finals(Driver(endpoints, may_bypass_caches=False).ask(1))


def test_odd_lists_are_normal_life() -> None:
    d = Driver()
    d.listed()
    assert len(finals(d.ask(1))) == 1
    d.listed(*FLEET, *FLEET)
    d.listed(kind=api.UpdateKind.FAILED)
    d.change(cache(77, state=api.EndpointState.GONE))
    assert len(sends(d.ask(2))) == 1
    d.end(2, 5, b"nobody", R.ERROR)
    assert len(d.router.pending) == 1


def test_a_cached_list_is_enough_to_start_and_a_subscription_is_asked_for_where_needed() -> None:
    d = Driver((), must_subscribe=True)
    assert d.listed(*FLEET, kind=api.UpdateKind.CACHED) == [api.Subscribe()]
    assert d.listed(kind=api.UpdateKind.FAILED) == [api.Subscribe()]
    assert len(sends(d.ask(1))) == 1


UNTOLD: dict[str, Any] = {
    "weights_known": False,
    "probes": True,
    "load_by_health_check": True,
    "report_names": ("busy", "held"),
}


def untold(cores: int = 4) -> Driver:
    """A router that is told neither sizes nor weights, after hits of a tenth of a second and some reports."""
    d = Driver(**UNTOLD)
    for n in range(1000, 1040):
        d.serve(n, key=n, kb=0.0)
        d.give(api.ProbeEnded(b"cache%d" % (n % 4), R.OK, 0.01, (0.5, cores / 2)))
    return d


def test_sending_times_are_learned_from_hits_where_sizes_are_untold() -> None:
    # all were 0 before: nothing was refused, and cold members were sent whatever came
    d = Driver(**UNTOLD)
    d.ask(1, kb=0.0)
    assert d.router.pending[1].transfer_seconds == 0.5  # the class's aim, until a hit was timed
    d = untold()
    d.ask(1, kb=0.0)
    assert abs(d.router.pending[1].transfer_seconds - 0.1) < 0.01


def test_a_hot_object_spills_where_weights_are_untold() -> None:
    d = untold()
    homes = [get(d.ask(n, key=7, kb=0.0)).endpoint for n in range(1, 12)]
    assert len(set(homes[:2])) == 1 and len(set(homes)) > 1
    dull = Driver(**UNTOLD)  # no report has told of the cores yet: the ordinary path
    assert len({get(dull.ask(n, key=7, kb=0.0)).endpoint for n in range(1, 12)}) == 1


def test_a_router_without_reports_refuses_nothing_for_a_crowd_that_it_cannot_judge() -> None:
    # right after a start a lost cache's requests were refused instead of going past it
    d = Driver((cache(0), parent(0), FLEET[-1]), **UNTOLD)
    sent = [get(d.ask(n, key=n, kb=0.0)) for n in range(10)]
    for n, s in enumerate(sent):
        assert get(d.end(n, 0, s.endpoint, R.UNREACHABLE)).endpoint == b"paren0"


def test_a_cold_cache_is_spared_where_sizes_and_weights_are_untold() -> None:
    # guards rule 4: with every sending time 0 a cold cache was sent 4.5 times what it could do
    d = untold()
    walk = walk_of(d, 7)
    d.change(cache(int(walk[0][-1:]), started_at=d.now))
    pushed = 0
    for n in range(1, 200):
        d.now += 0.005
        sent = get(d.ask(n, key=n, kb=0.0)).endpoint
        pushed += sent == walk[0]
        d.end(n, 0, sent, R.OK, True, fill_outcome=HIT)
    assert 0 < pushed * 0.1 <= 2.0 * 0.25 * 4  # work in a second, under multiple x cold share x cores


SCRIPT = """
from tests.conftest import Driver
d = Driver()
for n in range(1, 400):
    for a in d.ask(n, key=n % 50, kb=10.0 * (n % 30)):
        print(a)
"""


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    root = Path(__file__).resolve().parent.parent
    outputs = {
        subprocess.run(
            [sys.executable, "-c", SCRIPT],
            cwd=root,
            env={**os.environ, "PYTHONHASHSEED": str(seed)},
            capture_output=True,
            check=True,
        ).stdout
        for seed in (1, 2, 3)
    }
    assert len(outputs) == 1 and len(outputs.pop()) > 1000


def test_a_failed_origin_is_not_asked_again_through_another_parent() -> None:
    d = Driver()
    sent = get(d.ask(1))
    assert d.end(1, 0, sent.endpoint, R.REJECTED, fill_outcome=N.ORIGIN_FAILED) == [api.Reject(1, 0.5)]


def test_with_the_origin_failed_a_stale_copy_is_tried_once_where_the_class_allows_it() -> None:
    d = Driver(classes=(api.RequestClass(0.25, 3.0, fresh_seconds=8.0, stale_if_error_seconds=20.0),))
    sent = get(d.ask(1))
    stale = get(d.end(1, 0, sent.endpoint, R.REJECTED, fill_outcome=N.ORIGIN_FAILED))
    assert stale.endpoint == stale.source == sent.endpoint and stale.max_age == 28.0
    assert finals(d.end(1, 1, stale.endpoint, R.MISS)) == [api.Reject(1, 0.25)]
    d.give(api.Purged(7, 3, 1.0))  # a purge still bounds the age
    sent = get(d.ask(2))
    assert get(d.end(2, 0, sent.endpoint, R.REJECTED, fill_outcome=N.ORIGIN_FAILED)).max_age <= 1.0 + 1e-9


def test_with_one_parent_set_aside_the_other_is_the_source_until_a_trial_brings_it_back() -> None:
    d = Driver((cache(0), parent(0), parent(1), FLEET[-1]))
    for n in range(1, 40):
        sent, attempt = get(d.ask(n, key=n)), 0
        while sent.source == b"paren0":
            sent, attempt = (
                get(d.end(n, attempt, b"cache0", R.REJECTED, fill_outcome=N.SOURCE_FAILED)),
                attempt + 1,
            )
        d.end(n, attempt, b"cache0", R.OK, True, fill_outcome=N.FILLED)
    assert d.endpoints.stats[b"paren0"].is_ejected
    assert {d.serve(n, key=n).source for n in range(100, 150)} == {b"paren1"}
    d.now += 2.01
    for n in range(200, 250):
        get(d.ask(n, key=n))
        d.end(n, 0, b"cache0", R.OK, True, fill_outcome=N.FILLED)
    assert {d.serve(n, key=n).source for n in range(300, 400)} == {b"paren0", b"paren1"}


def test_few_attempts_of_one_router_among_many_do_not_move_an_object() -> None:
    # one attempt times the routers of the location moved a third of all objects by chance
    d = Driver(routers_by_zone=(0, 8, 8), routers=16)
    assert len({get(d.ask(n, key=7)).endpoint for n in range(1, 5)}) == 1


def test_slow_fills_from_a_source_refuse_what_they_would_make_late() -> None:
    # with a hub lost, large fills shared the other parents' links until none ended in time
    d = Driver()
    for n in range(1, 30):
        sent = get(d.ask(n, key=n, kb=100.0))
        d.give(api.AttemptEnded(n, 0, sent.endpoint, R.OK, 0.9, True, N.FILLED, 0.1))  # 8 times its sending
    look = get(d.ask(100, key=50, kb=1000.0))
    assert look.source == look.endpoint  # what is held is served all the same
    assert finals(d.end(100, 0, look.endpoint, R.MISS)) == [api.Reject(100, 0.5)]
    assert get(d.ask(101, key=50, kb=10.0)).source.startswith(b"paren")
    for n in range(200, 260):  # quick again: the guard ends with its cause
        sent = get(d.ask(n, key=n, kb=10.0))
        d.give(api.AttemptEnded(n, 0, sent.endpoint, R.OK, 0.11, True, N.FILLED, 0.1))
    assert get(d.ask(300, key=50, kb=1000.0)).source.startswith(b"paren")


def test_what_goes_past_the_caches_is_held_back_by_the_pace_of_direct_answers() -> None:
    # a location that lost its caches put all its traffic on its one link: none of it came in time
    d = Driver((parent(0), FLEET[-1]))
    for n in range(1, 30):
        sent = get(d.ask(n, key=n, kb=50.0))
        d.give(api.AttemptEnded(n, 0, sent.endpoint, R.OK, 0.45, True, N.HIT))
    assert finals(d.ask(100, kb=1000.0)) == [api.Reject(100, 0.5)]
    assert get(d.ask(101, kb=10.0)).endpoint == b"paren0"


@pytest.mark.parametrize(("wait", "refused"), [(0.02, False), (1.5, True)])
def test_the_last_parent_is_asked_again_where_it_fails_at_once(wait: float, refused: bool) -> None:
    # with the other parent replaced, one that broke half of its fills off was set aside: nothing was filled
    d = Driver((cache(0), parent(0), FLEET[-1]))
    given_up = 0
    for n in range(1, 200):
        acts, attempt, failed = d.ask(n, key=n), 0, False
        while sent := sends(acts):
            source = sent[0].source if isinstance(sent[0], api.Fetch) else b""
            end = (R.OK, N.FILLED, 0.02)
            if source == sent[0].endpoint:
                end = (R.MISS, N.NONE, 0.0)
            elif source == b"paren0" and not failed:  # every first fill of a request
                end, failed = (R.ERROR, N.SOURCE_FAILED, wait), True
            result, note, waited = end
            over = result is R.OK
            acts = d.give(
                api.AttemptEnded(n, attempt, sent[0].endpoint, result, 0.1 + waited, over, note, waited)
            )
            attempt += 1
        given_up += bool(finals(acts))
    assert given_up > 100 if refused else given_up == 0


def test_a_cache_that_crawls_does_not_make_its_sources_look_slow() -> None:
    # one cache in three took 10 to 30 times a sending time: both parents were held for slow, and all refused
    d = Driver((cache(0), cache(1), cache(2), parent(0), FLEET[-1]))

    def end(n: int, sent: api.Fetch, fill_outcome: api.FillOutcome) -> None:
        took = 0.1 * (20.0 if sent.endpoint == b"cache0" else 1.0)  # 100 KB at 1,000 KB a second
        d.give(api.AttemptEnded(n, 0, sent.endpoint, R.OK, took, True, fill_outcome, 0.0))

    for n in range(1, 60):  # hits at all caches, then fills
        end(n, get(d.ask(n, key=n, kb=100.0)), HIT if n < 30 else N.FILLED)
    assert d.endpoints.stats[b"cache0"].slowdown > 5
    assert d.endpoints.stats[b"paren0"].slowdown < 1.5
    for n in range(
        60, 90
    ):  # where all caches crawl alike it is the link behind the parent: its fills are slow
        sent = get(d.ask(n, key=n, kb=100.0))
        d.give(api.AttemptEnded(n, 0, sent.endpoint, R.OK, 2.0, True, N.FILLED if n % 2 else HIT, 0.0))
    assert d.endpoints.stats[b"paren0"].slowdown > 5


def test_what_a_crawling_cache_would_make_late_goes_on_until_it_is_quick_again() -> None:
    # it kept its share of the objects, and a tenth of all requests came late
    d = Driver((cache(0), cache(1), cache(2), parent(0), FLEET[-1]))
    number = itertools.count(1)

    def places(kb: float, crawl: float) -> dict[int, bytes]:
        """Where each of 60 objects is asked for; `cache0` takes `crawl` times the sending time."""
        found = {}
        for key in range(60):
            n = next(number)
            found[key] = get(d.ask(n, key=key, kb=kb)).endpoint
            took = kb / 1000 * (crawl if found[key] == b"cache0" else 1.0)
            d.give(api.AttemptEnded(n, 0, found[key], R.OK, took, True, HIT, 0.0))
        return found

    homes = places(5.0, 1.0)
    places(5.0, 20.0)
    moved = places(400.0, 20.0)
    assert b"cache0" in homes.values() and b"cache0" not in moved.values()
    assert all(moved[key] == home for key, home in homes.items() if home != b"cache0")
    assert places(5.0, 1.0) == homes  # what is in time there stays, and tells how it fares
    assert places(400.0, 1.0) == homes
