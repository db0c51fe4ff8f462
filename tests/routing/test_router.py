"""Tests the router: final answers, determinism, and a large fleet."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from tests.support.routing import Driver, attempts_in, cache, final_answers, only_fetch, parent
from zincladder.routing import interface as api

Outcome = api.AttemptOutcome


def test_every_failed_request_gets_one_final_answer_and_nothing_after_it() -> None:
    for result in (
        Outcome.ERROR,
        Outcome.REJECTED,
        Outcome.TIMED_OUT,
        Outcome.UNREACHABLE,
        Outcome.RESET,
        Outcome.CANCELLED,
        Outcome.MISS,
    ):
        driver = Driver()
        actions, n = driver.request(1), 0
        while attempts_in(actions):
            actions = driver.end_attempt(1, n, attempts_in(actions)[0].endpoint, result)
            n += 1
        assert len(final_answers(actions)) == 1
        assert n <= 6
        assert not driver.end_attempt(1, n, b"cache0", Outcome.OK) and not driver.handle(
            api.ClientDisconnected(1)
        )


def test_a_timeout_at_the_deadline_gets_a_final_answer_at_once() -> None:
    driver = Driver()
    first = only_fetch(driver.request(1))
    driver.now += 3.0
    assert len(final_answers(driver.end_attempt(1, 0, first.endpoint, Outcome.TIMED_OUT))) == 1


def test_an_outcome_that_closes_the_request_needs_no_final_answer() -> None:
    driver = Driver()
    assert driver.end_attempt(1, 0, only_fetch(driver.request(1)).endpoint, Outcome.OK, closed=True) == []
    assert driver.router.pending == {} and driver.router.attempts == {}


def test_a_disconnected_client_gets_no_answer_and_its_attempt_is_cancelled() -> None:
    driver = Driver()
    driver.request(1)
    assert driver.handle(api.ClientDisconnected(1)) == [api.Cancel(1, 0)]
    assert driver.end_attempt(1, 0, b"cache0", Outcome.CANCELLED) == []


def test_an_attempt_that_was_not_sent_ends_the_request() -> None:
    driver = Driver()
    assert (
        len(final_answers(driver.end_attempt(1, 0, only_fetch(driver.request(1)).endpoint, Outcome.NOT_SENT)))
        == 1
    )


def test_with_an_empty_endpoint_list_a_request_is_rejected_with_retry_after() -> None:
    driver = Driver(())
    assert driver.request(1) == [api.Reject(1, 0.5)]


def test_one_attempt_is_in_flight_at_a_time() -> None:
    driver = Driver()
    actions = driver.request(1)
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    driver.now += timer.delay
    actions = driver.handle(api.TimerFired(timer.token))
    assert actions == [api.Cancel(1, 0)]  # the next attempt is sent only after this one has ended
    assert len(attempts_in(driver.end_attempt(1, 0, b"cache0", Outcome.CANCELLED))) == 1


def test_a_timer_of_a_finished_attempt_or_an_unknown_token_has_no_effect() -> None:
    driver = Driver()
    actions = driver.request(1)
    driver.end_attempt(1, 0, only_fetch(actions).endpoint, Outcome.OK, True)
    (timer,) = [a for a in actions if isinstance(a, api.SetTimer)]
    assert driver.handle(api.TimerFired(timer.token)) == [] == driver.handle(api.TimerFired(987654))


SCRIPT = """
from tests.support.routing import Driver
driver = Driver()
for n in range(1, 400):
    for a in driver.request(n, key=n % 50, kb=10.0 * (n % 30)):
        print(a)
"""


def test_actions_do_not_depend_on_the_hash_seed() -> None:
    root = Path(__file__).resolve().parents[2]
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


def test_a_router_of_230_handles_600_endpoints() -> None:
    caches = [cache(n, zone=n % 32, id=b"cache%03d" % n) for n in range(560)]
    driver = Driver([*caches, *(parent(n, id=b"paren%02d" % n) for n in range(40))], routers=230)
    assert len(driver.endpoints.stats) == 600 and len(driver.endpoints.parents.ids) == 40
    assert {driver.serve(n, key=n).endpoint for n in range(400)} == {m.id for m in caches if m.zone == 1}
