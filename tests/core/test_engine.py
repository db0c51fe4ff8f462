"""The core with a scripted transport: the test decides how each attempt ends."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import replace
from typing import Any

import anyio
import anyio.lowlevel
import pytest

from tests.support.routing import FLEET, cache, settings
from tests.support.scripted_transport import ScriptedTransport
from zincladder.core.answers import Answer, AnswerKind
from zincladder.core.attempt import AbortReason, ClientRequest
from zincladder.core.attempt_end import OUTCOME_OF_END, AttemptEnd, EndReason
from zincladder.core.engine import REPLACED_CLASS_RETRY_AFTER_SECONDS, Core
from zincladder.routing import interface as api

pytestmark = pytest.mark.anyio
NEVER_RAN_OUTCOMES = {
    api.AttemptOutcome.REJECTED,
    api.AttemptOutcome.UNREACHABLE,
    api.AttemptOutcome.NOT_SENT,
    api.AttemptOutcome.MISS,
}


class Case:
    """A core with a scripted transport, and the answer to the one request that it serves."""

    def __init__(self, **changes: Any) -> None:
        self.transport = ScriptedTransport()
        self.core = Core(settings(**changes), 1, self.transport)
        self.core.update_endpoints(api.UpdateKind.FULL, 1, FLEET)
        self.answer: Answer | None = None

    async def serve(self, request_class: int = 0, patience: float = 3.0) -> None:
        deadline = self.core.clock.now() + patience
        self.answer = await self.core.serve(ClientRequest("t", request_class, 7, 0, 3, deadline))
        self.transport.notify_changed()


@asynccontextmanager
async def case(
    request_class: int = 0, patience: float = 3.0, **changes: Any
) -> AsyncIterator[tuple[Case, anyio.CancelScope]]:
    c = Case(**changes)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(c.core.run)
        tasks.start_soon(c.serve, request_class, patience)
        await c.transport.until(lambda: bool(c.transport.attempts))
        yield c, tasks.cancel_scope
        tasks.cancel_scope.cancel()


@pytest.mark.parametrize("reason", list(EndReason))
async def test_a_write_is_retried_only_after_an_end_that_proves_it_never_ran(reason: EndReason) -> None:
    async with case(request_class=3) as (c, _):
        c.transport.end(0, reason)
        await c.transport.until(lambda: c.answer is not None or len(c.transport.attempts) > 1)
        retried = OUTCOME_OF_END[reason] in NEVER_RAN_OUTCOMES and reason is not EndReason.DEADLINE_EXCEEDED
        assert (len(c.transport.attempts) == 2) == retried
        assert retried or c.answer


async def test_a_request_that_was_read_before_its_class_was_replaced_is_rejected() -> None:
    # Once new rules are in force in the fleet, no request may be answered under the replaced ones.
    c = Case()
    c.core.decisions_paused_for = lambda: 0.0  # decisions are not paused: only the class is replaced
    old_rules, *others = c.core.settings.classes
    rules = (replace(old_rules, fresh_seconds=old_rules.fresh_seconds + 1), *others)
    c.core.apply_settings(replace(c.core.settings, classes=rules), c.core.classes.names[: len(rules)])
    assert c.core.classes.rules[0] == old_rules  # number 0 still stands for the old rules
    await c.serve(0)
    assert (
        c.answer == Answer(AnswerKind.REJECTED, retry_after=REPLACED_CLASS_RETRY_AFTER_SECONDS)
        and not c.transport.attempts
    )
    assert c.core.route_only(ClientRequest("t", 0, 7, 0, 3, c.core.clock.now() + 1)) is None
    assert (
        c.core.route_only(ClientRequest("t", c.core.classes.current["0"], 7, 0, 3, c.core.clock.now() + 1))
        is not None
    )


async def test_a_cancelled_request_leaves_no_state_in_the_router() -> None:
    async with case() as (c, scope):
        assert c.core.router.attempts
        scope.cancel()
    assert not c.core.router.attempts and not c.core.router.pending and not c.core.open_requests
    assert not any(stats.in_flight for stats in c.core.router.state.endpoints.stats.values())
    assert c.core.counts["answers", "withdrawn"] == 1


async def test_a_request_that_no_endpoint_answers_fails_at_its_deadline() -> None:
    async with case(request_class=3, patience=0.05) as (c, _):
        await c.transport.until(lambda: c.answer is not None)
        assert c.answer and c.answer.kind is AnswerKind.FAILED


async def test_an_exception_in_the_router_ends_its_request_and_the_core_serves_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    c = Case()

    def fail(*_: object) -> list[api.Action]:
        raise ZeroDivisionError

    with monkeypatch.context() as patch:
        patch.setattr(c.core.router, "handle", fail)
        with pytest.raises(ZeroDivisionError):
            await c.serve()
    assert not c.core.open_requests
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(c.core.run)
        tasks.start_soon(c.serve)
        await c.transport.until(lambda: bool(c.transport.attempts))
        c.transport.end(0, EndReason.SERVED)
        await c.transport.until(lambda: c.answer is not None)
        tasks.cancel_scope.cancel()
    assert c.answer and c.answer.kind is AnswerKind.SERVED


async def test_an_exception_in_the_transport_ends_only_its_own_attempt() -> None:
    # The attempts of all requests share one task group, which an exception would cancel.
    async with case() as (c, _):
        working_send, c.transport.send = c.transport.send, raise_error  # type: ignore[method-assign]
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(c.serve)
            await c.transport.until(lambda: c.answer is not None)
        assert c.answer and c.answer.kind is AnswerKind.REJECTED
        c.transport.send = working_send  # type: ignore[method-assign]
        c.transport.end(0, EndReason.SERVED)  # the attempt of the request that was open throughout
        await c.transport.until(lambda: c.answer is not None and c.answer.kind is AnswerKind.SERVED)


async def raise_error(attempt: object) -> AttemptEnd:
    raise ZeroDivisionError


async def test_an_exception_in_a_health_check_ends_only_that_health_check() -> None:
    async with case() as (c, _):
        c.transport.check_health = raise_error  # type: ignore[method-assign, assignment]
        c.core.health_checks.request(b"cache1")
        with anyio.fail_after(5):
            while not c.core.counts["probes", "silent"]:
                await anyio.lowlevel.checkpoint()
        c.transport.end(0, EndReason.SERVED)
        await c.transport.until(lambda: c.answer is not None)
        assert c.answer and c.answer.kind is AnswerKind.SERVED


@pytest.mark.parametrize("state", [api.EndpointState.DRAINING, api.EndpointState.GONE])
@pytest.mark.parametrize("lost_is_source", [False, True])
async def test_purges_and_endpoint_updates_after_the_decision_apply_to_the_send(
    state: api.EndpointState, lost_is_source: bool
) -> None:
    # Updates may arrive after the decision, while a connection is established. Rules 3 and 5 of the platform
    # (draining endpoints, purges) apply at the time when the attempt is sent.
    async with case() as (c, _):
        (attempt,) = c.transport.attempts
        assert attempt.may_start() and attempt.max_age_now() == 0.0
        c.core.purge(None, 3, c.core.clock.now() - 0.2)
        assert 0.2 <= attempt.max_age_now() < 1.0
        lost = attempt.source if lost_is_source else attempt.endpoint
        (endpoint,) = [m for m in FLEET if m.id == lost]
        c.core.update_endpoints(
            api.UpdateKind.DELTA, 2, (cache(0, id=lost, kind=endpoint.kind, state=state),)
        )
        assert not attempt.may_start()
        reason = AbortReason.SOURCE_NOT_READY if lost_is_source else AbortReason.ENDPOINT_NOT_READY
        assert attempt.abort_reason() is reason


async def test_direct_routing_reports_no_outcome_to_the_router() -> None:
    c = Case()
    for n in range(50):
        deadline = c.core.clock.now() + 1.0
        assert c.core.route_only(ClientRequest("", 0, n, None, 3, deadline)) in {m.id for m in FLEET}
    assert not c.core.router.attempts and not c.core.router.pending and not c.transport.attempts
    assert all(
        stats.failure_rate == stats.in_flight == 0 for stats in c.core.router.state.endpoints.stats.values()
    )
