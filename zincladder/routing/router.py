"""The Router: passes each event to the modules that it concerns and returns the resulting actions.

In the normal case consistent hashing with MD5 selects the cache of a part from the location's caches, and the
fill source of its object from all listed parents; all copies have the same rank. Every deviation from it is
based only on what this router has observed. `interface.py` defines the events and actions, `state.py` the
state that the modules share.
"""

from __future__ import annotations

from zincladder.routing import interface as api
from zincladder.routing.copy_age import max_copy_age
from zincladder.routing.endpoints import EndpointStats, Role
from zincladder.routing.health_checks import (
    PROBE_INTERVAL_SECONDS,
    are_probes_wanted,
    next_probed_cache,
    record_load_report,
)
from zincladder.routing.load_shedding import would_miss_deadline
from zincladder.routing.outcomes import record_attempt_end, record_fill
from zincladder.routing.outlier_ejection import (
    attribute_failure,
    is_silent,
    record_outcome,
    silence_timeout,
)
from zincladder.routing.requests import Attempt, PendingRequest
from zincladder.routing.retry import (
    client_may_retry,
    has_attempts_left,
    plan_retry,
    record_end_for_retry,
    router_may_retry,
)
from zincladder.routing.ring import ring_position
from zincladder.routing.selection import Route, is_exempt_from_throttling, select_route
from zincladder.routing.slow_start import charge_slow_start
from zincladder.routing.state import RouterState

CACHED_RANK = 1  # the same for all copies, so that every cache evicts its least recently used copy
UNCACHED_RANK = 0
PROBE_TIMER = (-1, 0)  # key of the probe timer; other timers have a request id and an attempt number


class Router:
    """The decisions of one router.

    The caller must pass every event, in order, and carry out the returned actions in order.
    """

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.state = RouterState(settings, seed)
        self.pending: dict[int, PendingRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # by request id and attempt number
        # By token: the key of the attempt whose silence timeout the timer measures, or PROBE_TIMER.
        self.timers: dict[int, tuple[int, int]] = {}
        self._last_token = 0
        self._probing = False  # whether a probe timer is set
        self._actions: list[api.Action] = []

    def handle(self, event: api.Event, now: float) -> list[api.Action]:
        """Handles one event and returns the resulting actions; `now` is in seconds on the caller's clock."""
        self._actions = []
        if not self._probing and are_probes_wanted(self.state.settings):
            self._probe()  # the first event of any kind after such settings were applied starts the probes
        match event:
            case api.Request():
                self._on_request(event, now)
            case api.AttemptEnded():
                self._on_attempt_ended(event, now)
            case api.TimerFired():
                self._on_timer(event.token, now)
            case api.EndpointUpdate():
                self._on_endpoint_update(event, now)
            case api.Purged():
                self._on_purge(event, now)
            case api.ClientDisconnected():
                self._close(event.request)
            case api.ProbeEnded():
                record_load_report(self.state, event.endpoint, event.report)
            case api.SettingsChanged():
                self.state.apply_settings(event)
        return self._actions

    def ejected_count(self) -> int:
        """Returns the number of caches of this location that are currently ejected."""
        endpoints = self.state.endpoints
        return sum(endpoints.stats[i].is_ejected for i in endpoints.caches.ids)

    def _on_endpoint_update(self, event: api.EndpointUpdate, now: float) -> None:
        state = self.state
        if state.settings.must_subscribe and event.kind in (api.UpdateKind.CACHED, api.UpdateKind.FAILED):
            self._actions.append(api.Subscribe())
        if event.kind is not api.UpdateKind.FAILED:  # otherwise the previous list stays in effect
            state.endpoints.apply_update(event, state.settings, now)
            state.fill_throttles.retain_sources(state.endpoints.stats)

    def _on_purge(self, event: api.Purged, now: float) -> None:
        done_seconds = self.state.settings.purge_done
        self.state.purges.record(event.object, event.group, now - event.age, now, done_seconds)

    # Requests --------------------------------------------------------------------------------

    def _on_request(self, request: api.Request, now: float) -> None:
        state = self.state
        request_class = state.settings.classes[request.request_class]
        state.origin_budget.credit()
        transfer_seconds = state.estimate_transfer(request, request_class)
        name = request.object.to_bytes(8, "big")
        source_position = ring_position(name)
        cache_position = source_position
        if request.part:
            cache_position = ring_position(name + request.part.to_bytes(4, "big"))
        pending = self.pending[request.id] = PendingRequest(
            request,
            request_class,
            transfer_seconds,
            cache_position,
            source_position,
            state.settings.max_attempts,
        )
        seconds_left = request.deadline - now
        if not request_class.uncacheable and would_miss_deadline(
            seconds_left, transfer_seconds, request_class.timeout
        ):
            self._reject_or_fail(pending)
        else:
            self._dispatch(pending, now)

    def _dispatch(self, pending: PendingRequest, now: float) -> None:
        """Sends the next attempt of a request, or its final answer if there is none."""
        route = self._plan_attempt(pending, now)
        if route is None:
            self._reject_or_fail(pending)
        else:
            self._send(pending, route.target, route.source, now)

    def _plan_attempt(self, pending: PendingRequest, now: float) -> Route | None:
        """Returns the route of the next attempt, or `None` if the request gets no further attempt.

        The reasons for `None`, in the order in which they are checked: the request has no attempts or time
        left; no route is available, or the answer would come too late; the request might be executed twice;
        the retry budget is empty.
        """
        state = self.state
        if not has_attempts_left(pending, now):
            return None
        route = select_route(state, pending, now)
        if route is None or not router_may_retry(pending, now):
            return None
        pending.cached_only = False
        if is_exempt_from_throttling(state, route):
            return route
        if not state.retry_budget.charge(pending.last_outcome):
            return None
        if not pending.request_class.uncacheable:
            pending.cached_only = state.random.random() > state.fill_throttles.admitted_share(now)
        if pending.cached_only and route.source.endpoint.id == state.endpoints.origin_id:
            route.source = route.target
        return route

    def _send(
        self, pending: PendingRequest, target: EndpointStats, source: EndpointStats, now: float
    ) -> None:
        state, request_id, number = self.state, pending.request.id, pending.attempts_sent
        target_id, source_id = target.endpoint.id, source.endpoint.id
        pending.in_flight.add(number)
        pending.attempts_sent += 1
        self.attempts[request_id, number] = Attempt(pending, target_id, source_id, now, now)
        state.endpoints.track_in_flight(target, 1)
        self._charge_budgets(pending, target, source)
        if target.role is Role.ORIGIN:
            self._actions.append(api.Lookup(request_id, target_id))
        else:
            self._actions.append(self._fetch(pending, target, source, now))
        self._set_timer(silence_timeout(pending), (request_id, number))

    def _charge_budgets(self, pending: PendingRequest, target: EndpointStats, source: EndpointStats) -> None:
        state, uncacheable = self.state, pending.request_class.uncacheable
        from_origin = source.endpoint.id == state.endpoints.origin_id
        if from_origin and not uncacheable and target.role is not Role.PARENT:
            state.origin_budget.charge()
        mean_seconds = state.transfer_times[pending.request.request_class].mean_seconds
        charge_slow_start(target, pending.transfer_seconds, mean_seconds)
        if source is not target:
            charge_slow_start(source, pending.transfer_seconds, mean_seconds)

    def _fetch(
        self, pending: PendingRequest, target: EndpointStats, source: EndpointStats, now: float
    ) -> api.Fetch:
        state, parents = self.state, self.state.endpoints.parents.ids
        passes_through = target.role is Role.PARENT or pending.request_class.uncacheable
        # After a parent failed, the fill in progress may hang, so the retry starts a fill of its own.
        coalesce = state.settings.coalesces_fills and not pending.failed_endpoints & parents
        from_parent = source.role is Role.PARENT and source is not target
        return api.Fetch(
            pending.request.id,
            target.endpoint.id,
            source.endpoint.id,
            UNCACHED_RANK if passes_through else CACHED_RANK,
            max_copy_age(state, pending, now),
            coalesce,
            pending.cached_only and from_parent,
        )

    def _reject_or_fail(self, pending: PendingRequest) -> None:
        """Sends the final answer: a rejection if the client may safely retry, otherwise a failure."""
        if client_may_retry(pending):
            objective = pending.request_class.latency_objective  # an overload should have ended by then
            retry_after = min(self.state.settings.max_retry_after, objective)
            self._actions.append(api.Reject(pending.request.id, retry_after))
        else:
            self._actions.append(api.Fail(pending.request.id))
        self._close(pending.request.id)

    def _close(self, request_id: int) -> None:
        pending = self.pending.pop(request_id, None)
        if pending and self.state.settings.may_cancel:
            self._actions.extend(api.Cancel(request_id, number) for number in sorted(pending.in_flight))

    # Ends of attempts ------------------------------------------------------------------------

    def _on_attempt_ended(self, event: api.AttemptEnded, now: float) -> None:
        state = self.state
        blamed: api.EndpointIds = set()
        attempt = self.attempts.pop((event.request, event.attempt), None)
        if attempt:
            blamed = attribute_failure(state, event, attempt)
            record_attempt_end(state, event, attempt, blamed, now)
        if event.closed:
            self.pending.pop(event.request, None)
            return
        pending = self.pending.get(event.request)
        if pending is None:
            return
        pending.in_flight.discard(event.attempt)
        pending.last_outcome = event.outcome
        if attempt:
            record_end_for_retry(pending, event, attempt, blamed)
            if not plan_retry(pending, event, attempt, blamed, state.endpoints.origin_id):
                self._reject_or_fail(pending)
                return
        if pending.in_flight:
            return
        if event.outcome is api.AttemptOutcome.NOT_SENT:
            self._reject_or_fail(pending)
        else:
            self._dispatch(pending, now)

    # Timers ----------------------------------------------------------------------------------

    def _on_timer(self, token: int, now: float) -> None:
        key = self.timers.pop(token, None)
        if key == PROBE_TIMER:
            self._probe()
        elif key is not None and key[0] in self.pending and key in self.attempts:
            self._check_silence(key, now)

    def _check_silence(self, key: tuple[int, int], now: float) -> None:
        """Cancels an attempt after its silence timeout if its cache answered no other attempt either.

        A request would otherwise wait for an endpoint that is gone. The cancellation leads to a retry.
        """
        state = self.state
        pending, attempt = self.pending[key[0]], self.attempts[key]
        cache = state.endpoints.stats.get(attempt.target)
        if cache and cache.last_answer_at > attempt.silence_timer_set_at:
            record_fill(state, attempt, True, now)  # the cache responds, so it is waiting for its source
        if cache and state.settings.may_cancel and is_silent(state, cache, attempt, now):
            record_outcome(state, cache, True, now)
            self._actions.append(api.Cancel(*key))
        else:
            attempt.silence_timer_set_at = now
            self._set_timer(silence_timeout(pending), key)

    def _probe(self) -> None:
        """Probes the next cache and sets the timer of the next probe, while the settings require probes."""
        self._probing = are_probes_wanted(self.state.settings)
        if not self._probing:
            return
        endpoint_id = next_probed_cache(self.state, self._last_token)
        if endpoint_id is not None:
            self._actions.append(api.Probe(endpoint_id))
        self._set_timer(PROBE_INTERVAL_SECONDS, PROBE_TIMER)

    def _set_timer(self, delay_seconds: float, key: tuple[int, int]) -> None:
        self._last_token += 1
        self.timers[self._last_token] = key
        self._actions.append(api.SetTimer(delay_seconds, self._last_token))
