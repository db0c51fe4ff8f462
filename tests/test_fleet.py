"""What one router does that is harmless alone and harmful when many do it."""

from __future__ import annotations

from tests.conftest import Driver, get, sends
from zincladder import interface as api

R = api.Result


# Refusals whose source is not told ----------------------------------------------------------------


def refuse_all_of(source: bytes, d: Driver, requests: range) -> list[int]:
    """Asks in turn; every fill from `source` is refused, unsaid, all others succeed. Attempts by request."""
    tries = []
    for n in requests:
        actions, attempt = d.ask(n, key=n, kb=0.0), 0
        while sends(actions):
            sent = get(actions)
            refused = sent.source == source
            result = R.REFUSED if refused else R.OK
            note = api.Note.NONE if refused else api.Note.FILLED
            actions = d.end(n, attempt, sent.member, result, not refused, note=note)
            attempt += 1
        tries.append(attempt)
        d.now += 0.05
    return tries


def test_a_source_that_refuses_unsaid_costs_a_request_one_attempt_and_no_cache_its_place() -> None:
    d = Driver(faults_told=False)
    tries = refuse_all_of(b"paren1", d, range(1, 31))
    assert max(tries) == 2  # before: one at each cache of the location, all through the same source
    assert tries.count(2) <= 4  # then the source is known
    assert not any(d.router.seen[b"cache%d" % n].off for n in range(4))
    assert d.router.seen[b"paren1"].off


def test_a_cache_that_refuses_unsaid_is_known_and_no_source_loses_its_place() -> None:
    d = Driver(faults_told=False)
    for n in range(1, 60):
        actions, attempt = d.ask(n, key=n, kb=0.0), 0
        while sends(actions):
            sent = get(actions)
            ill = sent.member == b"cache1"
            result, note = (R.REFUSED, api.Note.NONE) if ill else (R.OK, api.Note.FILLED)
            actions = d.end(n, attempt, sent.member, result, not ill, note=note)
            attempt += 1
            assert attempt <= 3
        d.now += 0.05
    assert d.router.seen[b"cache1"].off
    assert not any(d.router.seen[b"paren%d" % n].off for n in range(3))


def test_where_faults_are_told_a_refusal_without_a_note_is_the_caches_own() -> None:
    d = Driver()
    first = get(d.ask(1))
    again = get(d.end(1, 0, first.member, R.REFUSED))
    assert again.member != first.member and again.source == first.source
