"""The retry budget and the budget of fills from the origin."""

from __future__ import annotations

from typing import Any

from tests.support.routing import Driver, attempts_while_parents_reject
from zincladder.routing import budgets
from zincladder.routing import interface as api

Outcome = api.AttemptOutcome


def test_retries_after_rejections_are_limited_to_a_share_of_successes() -> None:
    budget = budgets.RetryBudget()
    assert [budget.charge(Outcome.REJECTED) for _ in range(12)] == [True] * 10 + [False] * 2
    for _ in range(5):
        budget.record_outcome(Outcome.OK)
        budget.record_outcome(Outcome.TIMED_OUT)
    assert [budget.charge(Outcome.TIMED_OUT) for _ in range(2)] == [True, False]
    uncharged: Any = (None, Outcome.MISS, Outcome.RESET, Outcome.UNREACHABLE, Outcome.NOT_SENT, Outcome.ERROR)
    assert all(budget.charge(last) for last in uncharged)


def test_routers_whose_parents_fail_limit_fills_from_the_origin_but_not_writes() -> None:
    fills = 0
    for seed in range(40):
        attempts = attempts_while_parents_reject(Driver(seed=seed), range(1, 101))
        fills += sum(getattr(sent, "source", sent.endpoint) == b"origin" for sent in attempts)
    assert 40 * 10 <= fills <= 40 * (100 * 0.1 + 3)
    writes = attempts_while_parents_reject(Driver(), range(1, 101), request_class=3)
    assert len(writes) == 100 and all(sent.endpoint == b"origin" for sent in writes)
