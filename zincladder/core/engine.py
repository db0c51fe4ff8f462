"""Runs one router: passes it every event in order and performs the actions that it returns.

A front calls `serve` for each request, or `route_only` if the client itself connects to the endpoint. A
`Transport` sends attempts and health checks to the endpoints. Only the router makes routing decisions.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from time import monotonic

import anyio
import anyio.lowlevel
import structlog
from anyio.abc import TaskGroup

from zincladder.core.answers import Answer, AnswerKind
from zincladder.core.attempt import AbortReason, AttemptRequest, ClientRequest, Transport
from zincladder.core.attempt_end import AttemptEnd, EndReason
from zincladder.core.attempt_guard import CoreAttemptGuard
from zincladder.core.attempt_log import log_expired
from zincladder.core.clock import Clock
from zincladder.core.counts import ANSWERS, ATTEMPTS, REJECTED_WITHOUT_LIST, WITHDRAWN_REQUESTS, Counts
from zincladder.core.direct_routing import DirectRouting
from zincladder.core.endpoint_list import EndpointList
from zincladder.core.health_checks import HealthChecks
from zincladder.core.loop_monitor import STALL_SECONDS, LoopMonitor, let_readers_catch_up
from zincladder.core.request_classes import RequestClasses
from zincladder.core.request_context import InFlightAttempt, RequestContext
from zincladder.core.router_messages import attempt_ended_event, attempt_request, request_event
from zincladder.core.sent_requests import SentRequests
from zincladder.core.statistics import Statistics
from zincladder.core.timers import TimerQueue
from zincladder.routing import interface as api
from zincladder.routing.purges import Purges
from zincladder.routing.retry import NEVER_RAN
from zincladder.routing.router import Router
from zincladder.support.rate_limited_log import RateLimitedLog

# A request waits for a current list for at most this fraction of its remaining time, so that a client that is
# rejected after this wait can still retry.
LIST_WAIT_FRACTION = 0.45
# Before an attempt is sent, it waits for a current list for at most this long, which is shorter than timeouts
# that count against endpoints.
ATTEMPT_LIST_WAIT_SECONDS = 0.2
CANCEL_SCOPE_MARGIN_SECONDS = 0.001  # an attempt is cancelled this long after its deadline
REPLACED_CLASS_RETRY_AFTER_SECONDS = 0.05  # sent to a client whose request was read under replaced settings
log = structlog.get_logger()


class Core:
    """One router, its clock, timers, endpoint list and statistics, and the open requests."""

    def __init__(
        self,
        settings: api.Settings,
        seed: int,
        transport: Transport,
        clock: Clock | None = None,
        classes: RequestClasses | None = None,
        sent_requests: SentRequests | None = None,
    ) -> None:
        self.settings = settings
        self.classes = classes or RequestClasses(
            [str(i) for i in range(len(settings.classes))], settings.classes
        )
        self.router = Router(settings, seed)
        self.transport = transport
        self.clock = clock or Clock()
        self.counts = Counts()
        self.statistics = Statistics()
        self.statistics.retain_classes(self.classes.current, ())
        self.endpoint_list = EndpointList(self.counts)
        self.purges = Purges()
        self.open_requests: dict[int, RequestContext] = {}
        self.sent_requests = sent_requests or SentRequests()
        self.loop_monitor = LoopMonitor()
        # Called at each tick, for timers that belong to a front and not to the router.
        self.on_tick: Callable[[], None] | None = None
        # Returns for how many seconds no request may be routed, or 0. It is called for each request; the
        # result is never cached. If set, a request whose class was replaced after it was read is rejected.
        self.decisions_paused_for: Callable[[], float] | None = None
        self.health_checks = HealthChecks(
            transport, self.clock, self.statistics, self.counts, self._notify_router
        )
        self._direct_routing = DirectRouting(self, self.clock, self.classes, self.endpoint_list, self.counts)
        self._rate_limited_log = RateLimitedLog()
        self._attempt_guard = CoreAttemptGuard(
            settings,
            self.clock,
            self.endpoint_list,
            self.purges,
            self.statistics,
            self.counts,
            self._rate_limited_log,
            self.sent_requests,
        )
        self._timers = TimerQueue()
        self._last_request_number = 0
        self._task_group: TaskGroup | None = None  # shared by all requests: one for each request is expensive

    # Requests -------------------------------------------------------------------------------------

    async def serve(self, request: ClientRequest) -> Answer:
        """Serves one request, and returns its one final answer.

        Cancelling the call means that the client disconnected or cancelled the request.
        """
        number = self.next_request_number()
        context = self.open_requests[number] = RequestContext(request)
        try:
            list_wait = LIST_WAIT_FRACTION * (request.deadline - self.clock.now())
            if not await self.endpoint_list.wait_until_current(context, list_wait):
                context.answer = context.answer or self._rejected_without_list(request)
            elif paused := self.paused_seconds(request.request_class):
                context.answer = Answer(AnswerKind.REJECTED, retry_after=paused)
            else:
                self._handle_event(request_event(number, request))
            while context.answer is None:
                await self._run_or_wait(number, context)
                self._process_ended_attempts(number, context)
            self.record_answer(request.request_class, context.answer.kind)
            return context.answer
        finally:
            self._close_request(number)

    def route_only(self, request: ClientRequest) -> api.EndpointId | None:
        """Returns the endpoint for a client that connects to it itself; None if the request is rejected."""
        return self._direct_routing.route_only(request)

    def fail_open_requests(self, requests: Sequence[ClientRequest] | None = None) -> None:
        """Answers the given requests, or by default all open requests, as failed at once."""
        identities = None if requests is None else {id(request) for request in requests}
        for number, context in self.open_requests.items():
            if context.answer is None and (identities is None or id(context.request) in identities):
                self._notify_router(api.ClientDisconnected(number))
                self._set_answer(number, Answer(AnswerKind.FAILED))
        self.endpoint_list.notify_changed()  # wakes the requests that wait for a current list

    def record_answer(self, request_class: int, kind: AnswerKind) -> None:
        """Counts an answer. Fronts also call this for requests that they answer without the core."""
        self.counts[ANSWERS, kind.value] += 1
        self.statistics.record_answer(self.classes.names[request_class], kind.value)

    def has_run_before(self, request: ClientRequest) -> bool:
        """Returns whether a request must not run twice and may have run under the same id."""
        return self._attempt_guard.has_run_before(request)

    def next_request_number(self) -> int:
        """Returns a number that no request had before."""
        self._last_request_number += 1
        return self._last_request_number

    def paused_seconds(self, request_class: int) -> float:
        """Returns for how many seconds requests with this class number must not be routed; 0: they may be.

        The class number of a request that was read just before new settings were applied refers to old rules.
        """
        if self.decisions_paused_for is None:
            return 0.0
        if paused := self.decisions_paused_for():
            return paused
        return 0.0 if self.classes.has_current_rules(request_class) else REPLACED_CLASS_RETRY_AFTER_SECONDS

    def _rejected_without_list(self, request: ClientRequest) -> Answer:
        """Answers a request that was never forwarded; its client may retry elsewhere at once."""
        assert self.endpoint_list.freshness is not None
        self.counts[REJECTED_WITHOUT_LIST] += 1
        phase = self.endpoint_list.freshness.phase.value
        self._rate_limited_log.warning(
            "request rejected: endpoint list may be out of date", trace=request.trace, coordinator_watch=phase
        )
        return Answer(AnswerKind.REJECTED)

    async def _run_or_wait(self, number: int, context: RequestContext) -> None:
        """Runs the next attempt in the request's own task, or waits for one that runs in another task."""
        if context.next_attempt:
            # Most requests need one attempt only; a task for it would be a large part of the request's cost.
            context.running_attempt, context.next_attempt = context.next_attempt, None
            await self._run_attempt(number, context, context.running_attempt)
            context.running_attempt = None
        elif not context.ended_attempts and not await self._wait_for_change(context):
            context.answer = Answer(AnswerKind.FAILED)
            self._handle_event(api.ClientDisconnected(number))

    async def _wait_for_change(self, context: RequestContext) -> bool:
        """Waits for the end of an attempt or for an answer; False if the request's deadline passes first."""
        context.changed = anyio.Event()
        # An attempt in flight ends by its own deadline. Without an attempt in flight, the scope ends the wait
        # at the request's deadline, so that every request is answered.
        with anyio.CancelScope() as wait_scope:
            if not context.in_flight:
                left = context.request.deadline - self.clock.now()
                wait_scope.deadline = anyio.current_time() + max(0.0, left)
            await context.changed.wait()
        changed = context.ended_attempts or context.next_attempt or context.answer
        return bool(changed or not wait_scope.cancelled_caught)

    def _set_answer(self, request_number: int, answer: Answer) -> None:
        context = self.open_requests.get(request_number)
        if context and context.answer is None:
            context.answer = answer
            context.changed.set()
            if context.running_attempt:
                context.running_attempt.cancel()

    def _close_request(self, number: int) -> None:
        """Removes a request, cancels its attempts in flight, and notifies the router once of each end."""
        context = self.open_requests.pop(number)
        if context.answer is None:
            self.counts[WITHDRAWN_REQUESTS] += 1
            self._notify_router(api.ClientDisconnected(number))
        for in_flight in context.in_flight.values():
            # Attempts are in flight here only if the client disconnected, or if `fail_open_requests` answered
            # the request. The Router makes one attempt at a time; several are handled all the same.
            in_flight.cancel()
            end = AttemptEnd(EndReason.CANCELLED)
            self._notify_router(self._attempt_ended(number, in_flight, end, answered=True))

    # Attempts -------------------------------------------------------------------------------------

    def _start_attempt(self, action: api.Fetch | api.Lookup) -> None:
        context = self.open_requests[action.request]
        number, context.attempts_started = context.attempts_started, context.attempts_started + 1
        now = self.clock.now()
        attempt = attempt_request(action, context, self._attempt_guard)
        attempt.stalled_seconds_at_decision = self.loop_monitor.stalled_seconds
        timeout = max(0.0, attempt.deadline - now) + CANCEL_SCOPE_MARGIN_SECONDS
        scope = anyio.CancelScope(deadline=anyio.current_time() + timeout)
        in_flight = context.in_flight[number] = InFlightAttempt(number, attempt, scope, now)
        class_name = self.classes.names[context.request.request_class]
        self.statistics.record_started(action.endpoint, now, class_name)
        if context.next_attempt is None and context.running_attempt is None and len(context.in_flight) == 1:
            context.next_attempt = in_flight
            context.changed.set()
            return
        assert self._task_group is not None, "requests are served only while `run` is running"
        self._task_group.start_soon(self._run_attempt, action.request, context, in_flight)

    async def _run_attempt(
        self, request_number: int, context: RequestContext, in_flight: InFlightAttempt
    ) -> None:
        end = AttemptEnd(EndReason.CANCELLED)
        attempt, scope = in_flight.attempt, in_flight.scope
        try:
            with scope:
                await anyio.lowlevel.checkpoint_if_cancelled()  # it may have been cancelled before it started
                end = await self._send_once_current(context, attempt)
        except Exception:  # must not cancel the attempts of other requests, which share the task group
            log.exception("transport raised an exception during an attempt", trace=attempt.request.trace)
            end = AttemptEnd(EndReason.SERVER_ERROR, detail="the transport raised an exception")
        if scope.cancelled_caught:
            # A late timer does not prove that the endpoint timed out: an answer may have arrived and still be
            # unread.
            timed_out = 0.0 <= self.clock.now() - attempt.deadline <= STALL_SECONDS
            end = AttemptEnd(EndReason.TIMED_OUT if timed_out else EndReason.CANCELLED, detail="timeout")
        in_flight.end = end
        context.ended_attempts.append(in_flight)
        running = context.running_attempt
        # The Router makes one attempt at a time; several are handled all the same.
        if running is not None and running is not in_flight:
            self._process_ended_attempts(request_number, context)
            if context.answer is not None:
                running.cancel()
        context.changed.set()

    async def _send_once_current(self, context: RequestContext, attempt: AttemptRequest) -> AttemptEnd:
        """Sends an attempt once the endpoint list is current; ends it if that takes too long."""
        if await self.endpoint_list.wait_until_current(context, ATTEMPT_LIST_WAIT_SECONDS):
            return await self.transport.send(attempt)
        return AttemptEnd(EndReason.DEADLINE_EXCEEDED, detail=AbortReason.LIST_OUT_OF_DATE.description)

    def _process_ended_attempts(self, request_number: int, context: RequestContext) -> None:
        """Notifies the router of ended attempts, and performs its actions, such as a retry or an answer."""
        while context.ended_attempts and context.answer is None:
            in_flight = context.ended_attempts.pop(0)
            del context.in_flight[in_flight.number]
            end = in_flight.end
            assert end is not None
            served = end.outcome is api.AttemptOutcome.OK
            self._attempt_guard.ended(in_flight.attempt, end)
            rules = self.classes.rules[context.request.request_class]
            if rules.idempotency is api.Idempotency.WITH_KEY and end.outcome not in NEVER_RAN:
                expires_at = in_flight.decided_at + rules.deduplication_window
                context.resend_before = min(context.resend_before, expires_at)
            if end.reason is EndReason.DEADLINE_EXCEEDED:
                lag = self.loop_monitor.lag_seconds
                log_expired(in_flight, end, self.clock.now(), lag, self._rate_limited_log)
            if served:
                context.answer = Answer(AnswerKind.SERVED, end)
            self._handle_event(self._attempt_ended(request_number, in_flight, end, answered=served))

    def _attempt_ended(
        self, request_number: int, in_flight: InFlightAttempt, end: AttemptEnd, *, answered: bool
    ) -> api.AttemptEnded:
        """Counts the end of an attempt, and returns the router's event for it."""
        attempt = in_flight.attempt
        self.counts[ATTEMPTS, end.reason.value] += 1
        self.statistics.record_ended(attempt.endpoint, end.reason)
        # Stalls of this process are not latency of the endpoint, and must not distort learned transfer times.
        stalled_seconds = self.loop_monitor.stalled_seconds - attempt.stalled_seconds_at_decision
        latency = max(0.0, self.clock.now() - in_flight.decided_at - stalled_seconds)
        return attempt_ended_event(request_number, in_flight, end, latency, answered)

    # Updates --------------------------------------------------------------------------------------

    def apply_settings(self, settings: api.Settings, names: Sequence[str]) -> None:
        """Applies new settings. Open requests keep the class rules under which they were read."""
        open_classes = {context.request.request_class for context in self.open_requests.values()}
        learned_from = self.classes.replace(names, settings.classes, open_classes, self.clock.now())
        self.statistics.retain_classes(names, (self.classes.names[number] for number in open_classes))
        self.settings = replace(settings, classes=tuple(self.classes.rules))
        self._attempt_guard.settings = self.settings
        self._notify_router(api.SettingsChanged(self.settings, learned_from))

    def update_endpoints(
        self, kind: api.UpdateKind, version: int, endpoints: tuple[api.Endpoint, ...]
    ) -> None:
        """Replaces the whole endpoint list, or applies changes to it."""
        self.endpoint_list.update(kind, endpoints)
        self.statistics.retain_endpoints(self.endpoint_list.endpoints)
        self._notify_router(api.EndpointUpdate(kind, version, endpoints))

    def purge(self, object_id: int | None, group: int, purged_at: float) -> None:
        """Records a purge, at a Unix time, of one object, or of a whole group if `object_id` is None."""
        now = self.clock.now()
        self.purges.record(object_id, group, purged_at, now, self.settings.purge_done)
        self._notify_router(api.Purged(object_id, group, max(0.0, now - purged_at)))

    def ejected_count(self) -> int:
        """Returns the number of caches on the list that the router has ejected."""
        return self.router.ejected_count()

    # Events and actions ---------------------------------------------------------------------------

    def handle(self, event: api.Event) -> list[api.Action]:
        """Passes an event to the router, and returns its actions for the caller to perform."""
        return self.router.handle(event, self.clock.now())

    def _handle_event(self, event: api.Event) -> None:
        for action in self.handle(event):
            self._perform_action(action)

    def _notify_router(self, event: api.Event) -> None:
        """Handles an event, and logs an exception instead of raising it: it must not end the process."""
        try:
            self._handle_event(event)
        except Exception:
            log.exception("router raised an exception", event_type=type(event).__name__)

    def _perform_action(self, action: api.Action) -> None:
        match action:
            case api.Fetch() | api.Lookup():
                self._start_attempt(action)
            case api.Cancel(request, attempt):
                context = self.open_requests.get(request)
                if context and attempt in context.in_flight:
                    context.in_flight[attempt].cancel()
            case api.Reject(request, retry_after):
                self._set_answer(request, Answer(AnswerKind.REJECTED, retry_after=retry_after))
            case api.Fail(request):
                self._set_answer(request, Answer(AnswerKind.FAILED))
            case api.SetTimer(delay, token):
                self._timers.set(self.clock.now() + delay, token)
            case api.Probe(endpoint):
                self.health_checks.request(endpoint)
            case _:  # the coordinator pushes the list, and routers have no channel to each other
                log.warning("router action is not supported and is ignored", action=type(action).__name__)

    # Running --------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Runs attempts and health checks, and fires timers, until it is cancelled."""
        self.loop_monitor.start()
        async with anyio.create_task_group() as self._task_group:
            while True:
                self.loop_monitor.loop_iterations.record_iteration(monotonic())
                self._start_health_checks(self._task_group)
                self._fire_timers()
                if self.on_tick is not None:
                    self.on_tick()
                if self.health_checks.pending:
                    continue
                if stalled := await self.loop_monitor.sleep_until_tick():
                    open_requests = len(self.open_requests)
                    self._rate_limited_log.warning(
                        "event loop stalled", stalled_s=round(stalled, 3), open_requests=open_requests
                    )
                    await let_readers_catch_up()

    def _start_health_checks(self, tasks: TaskGroup) -> None:
        while self.health_checks.pending:
            tasks.start_soon(self.health_checks.check, self.health_checks.pending.pop())

    def _fire_timers(self) -> None:
        while (token := self._timers.pop_due(self.clock.now())) is not None:
            self._notify_router(api.TimerFired(token))
