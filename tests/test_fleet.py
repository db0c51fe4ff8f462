"""What one router does that is harmless alone and harmful when many do it."""

from __future__ import annotations

from tests.conftest import FLEET, Driver, cache, finals, get, parent, sends
from zincladder.routing import interface as api

R = api.AttemptOutcome


# Refusals whose source is not told ----------------------------------------------------------------


def refuse_all_of(source: bytes, d: Driver, requests: range) -> list[int]:
    """Asks in turn; every fill from `source` is refused, unsaid, all others succeed. Attempts by request."""
    tries = []
    for n in requests:
        actions, attempt = d.ask(n, key=n, kb=0.0), 0
        while sends(actions):
            sent = get(actions)
            refused = sent.source == source
            result = R.REJECTED if refused else R.OK
            note = api.FillOutcome.NONE if refused else api.FillOutcome.FILLED
            actions = d.end(n, attempt, sent.endpoint, result, not refused, fill_outcome=note)
            attempt += 1
        tries.append(attempt)
        d.now += 0.05
    return tries


def test_a_source_that_refuses_unsaid_costs_a_request_one_attempt_and_no_cache_its_place() -> None:
    d = Driver(fill_faults_reported=False)
    tries = refuse_all_of(b"paren1", d, range(1, 31))
    assert max(tries) == 2  # before: one at each cache of the location, all through the same source
    assert tries.count(2) <= 4  # then the source is known
    assert not any(d.endpoints.stats[b"cache%d" % n].is_ejected for n in range(4))
    assert d.endpoints.stats[b"paren1"].is_ejected


def test_a_cache_that_refuses_unsaid_is_known_and_no_source_loses_its_place() -> None:
    d = Driver(fill_faults_reported=False)
    for n in range(1, 60):
        actions, attempt = d.ask(n, key=n, kb=0.0), 0
        while sends(actions):
            sent = get(actions)
            ill = sent.endpoint == b"cache1"
            result, note = (R.REJECTED, api.FillOutcome.NONE) if ill else (R.OK, api.FillOutcome.FILLED)
            actions = d.end(n, attempt, sent.endpoint, result, not ill, fill_outcome=note)
            attempt += 1
            assert attempt <= 3
        d.now += 0.05
    assert d.endpoints.stats[b"cache1"].is_ejected
    assert not any(d.endpoints.stats[b"paren%d" % n].is_ejected for n in range(3))


def test_where_faults_are_told_a_refusal_without_a_note_is_the_caches_own() -> None:
    d = Driver()
    first = get(d.ask(1))
    again = get(d.end(1, 0, first.endpoint, R.REJECTED))
    assert again.endpoint != first.endpoint and again.source == first.source


# The origin, where parents fail -------------------------------------------------------------------


def ask_while_parents_refuse(
    d: Driver, requests: range, request_class: int = 0
) -> list[api.Fetch | api.Lookup]:
    """All attempts of the requests; parents refuse, whoever asks, and the origin serves."""
    made: list[api.Fetch | api.Lookup] = []
    for n in requests:
        actions, attempt = d.ask(n, key=n, request_class=request_class), 0
        while sends(actions):
            (sent,) = sends(actions)
            made.append(sent)
            source = getattr(sent, "source", sent.endpoint)
            note, result = api.FillOutcome.FILLED_VIA_ORIGIN, R.OK
            if source.startswith(b"paren") or sent.endpoint.startswith(b"paren"):
                note, result = api.FillOutcome.SOURCE_REJECTED, R.REJECTED
            elif source == sent.endpoint and sent.endpoint != b"origin":
                note, result = api.FillOutcome.NONE, R.MISS
            actions = d.end(n, attempt, sent.endpoint, result, result is R.OK, fill_outcome=note)
            attempt += 1
        d.now += 0.1
    return made


def test_many_routers_whose_parents_fail_leave_the_origin_to_the_writes() -> None:
    fills = 0
    for seed in range(40):
        made = ask_while_parents_refuse(Driver(seed=seed), range(1, 101))
        fills += sum(getattr(sent, "source", sent.endpoint) == b"origin" for sent in made)
    assert 40 * 10 <= fills <= 40 * (100 * 0.1 + 3)  # before: 40 * 100
    writes = ask_while_parents_refuse(Driver(), range(1, 101), request_class=3)
    assert len(writes) == 100 and all(sent.endpoint == b"origin" for sent in writes)


def test_without_parents_all_fills_come_from_the_origin() -> None:
    d = Driver([m for m in FLEET if not m.id.startswith(b"paren")])
    assert all(d.serve(n, key=n).source == b"origin" for n in range(1, 50))


def test_judgement_sets_aside_at_most_half_of_the_parents() -> None:
    d = Driver()
    ask_while_parents_refuse(d, range(1, 60))
    assert sum(d.endpoints.stats[b"paren%d" % n].is_ejected for n in range(3)) <= 2
    two = Driver([m for m in FLEET if m.id != b"paren2"])
    ask_while_parents_refuse(two, range(1, 60))
    assert sum(two.endpoints.stats[b"paren%d" % n].is_ejected for n in range(2)) == 1


def test_what_a_cache_holds_is_served_though_no_source_is_left() -> None:
    d = Driver()
    d.change(*(parent(n, state=api.EndpointState.DRAINING) for n in range(3)))
    asked = [get(d.ask(n, key=n)) for n in range(1, 20)]
    assert [sent.source for sent in asked[:3]] == [b"origin"] * 3  # what the router may fill from it at once
    looks = [sent for sent in asked if sent.source != b"origin"]
    assert len(looks) >= 15 and all(sent.source == sent.endpoint for sent in looks)
    assert finals(d.end(19, 0, asked[-1].endpoint, R.MISS))


# Caches that came empty ---------------------------------------------------------------------------


def looks_beside(d: Driver, requests: range, held: bool) -> list[bool]:
    """Of the requests that go to the new cache: whether its neighbour, holding all or nothing, was asked."""
    asked = []
    for n in requests:
        actions, attempt = d.ask(n, key=n, kb=1.0), 0
        sent = get(actions)
        beside = sent.source.startswith(b"cache") and sent.source != sent.endpoint
        if sent.endpoint == b"cache1":
            asked.append(beside)
        if beside and not held:
            sent, attempt = get(d.end(n, 0, sent.endpoint, R.MISS)), 1
            assert b"cache1" not in d.router.pending[n].failed_endpoints
        d.end(n, attempt, sent.endpoint, R.OK, True, fill_outcome=api.FillOutcome.FILLED)
        d.now += 0.001
    return asked


def test_a_neighbour_that_holds_nothing_is_asked_less_and_the_new_cache_stays() -> None:
    d = Driver(fill_faults_reported=False)
    d.change(cache(1, started_at=d.now - 5))
    first = looks_beside(d, range(1, 40), held=False)
    later = looks_beside(d, range(40, 2000), held=False)
    assert first[0] and len(later) > 100 and sum(later) <= 0.3 * len(later)  # before: all of them


def test_a_neighbour_that_holds_it_goes_on_being_asked() -> None:
    d = Driver(fill_faults_reported=False)
    d.change(cache(1, started_at=d.now - 5))
    asked = looks_beside(d, range(1, 1000), held=True)
    assert len(asked) > 50 and all(asked)


def neighbour_asked(d: Driver, n: int) -> api.Fetch:
    """The first attempt, from request n on, that asks the new cache to fill from its neighbour."""
    while True:
        sent = get(d.ask(n, key=n, kb=1.0))
        if sent.endpoint == b"cache1" and sent.source.startswith(b"cache") and sent.source != sent.endpoint:
            return sent
        d.end(n, 0, sent.endpoint, R.OK, True, fill_outcome=api.FillOutcome.FILLED)
        d.now, n = d.now + 0.001, n + 1


def test_a_trial_that_ends_with_a_neighbours_lack_brings_the_new_cache_back() -> None:
    d = Driver(fill_faults_reported=False)
    d.change(cache(1, started_at=d.now - 5))
    sent = neighbour_asked(d, 1)
    new, neighbour = d.endpoints.stats[b"cache1"], d.endpoints.stats[sent.source]
    new.is_ejected, neighbour.failure_rate = True, 0.5
    (request,) = [n for n, pending in d.router.pending.items() if pending.in_flight]
    d.end(request, 0, sent.endpoint, R.MISS)
    assert not new.is_ejected  # it answered
    assert neighbour.failure_rate == 0.5  # of the neighbour this proves nothing


def test_only_answers_tell_what_a_neighbour_holds() -> None:
    for result, near in ((R.CANCELLED, 1.0), (R.TIMED_OUT, 1.0), (R.RESET, 1.0), (R.MISS, 0.73)):
        d = Driver(fill_faults_reported=False)
        d.change(cache(1, started_at=d.now - 5))
        sent = neighbour_asked(d, 1)
        (request,) = [n for n, pending in d.router.pending.items() if pending.in_flight]
        d.end(request, 0, sent.endpoint, result)
        assert round(d.state.sibling_hit_share, 2) == near
