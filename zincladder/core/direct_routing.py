"""Direct routing: the router names an endpoint, and the client itself connects to it."""

from __future__ import annotations

from typing import Protocol

from zincladder.core.attempt import ClientRequest
from zincladder.core.clock import Clock
from zincladder.core.counts import DIRECT_ROUTING_REJECTED, DIRECTLY_ROUTED, Counts
from zincladder.core.endpoint_list import EndpointList
from zincladder.core.request_classes import RequestClasses
from zincladder.core.router_messages import request_event
from zincladder.routing import interface as api


class RoutingCore(Protocol):
    """The part of the core that direct routing calls."""

    def next_request_number(self) -> int:
        """Returns a number that no request had before."""

    def paused_seconds(self, request_class: int) -> float:
        """Returns for how many seconds requests of this class must not be routed; 0: they may be."""

    def handle(self, event: api.Event) -> list[api.Action]:
        """Passes an event to the router and returns its actions."""


class DirectRouting:
    """Chooses an endpoint for a client that connects to it itself; used by the DNS front."""

    def __init__(
        self,
        decisions: RoutingCore,
        clock: Clock,
        classes: RequestClasses,
        endpoint_list: EndpointList,
        counts: Counts,
    ) -> None:
        self._decisions, self._clock, self._classes = decisions, clock, classes
        self._endpoint_list, self._counts = endpoint_list, counts

    def route_only(self, request: ClientRequest) -> api.EndpointId | None:
        """Returns the endpoint that the client is to connect to, or None if the request is rejected.

        How the request ends is not reported to the front, so the router is notified that no attempt was sent.
        """
        current = self._endpoint_list.is_current()
        if not current or self._decisions.paused_seconds(request.request_class):
            self._counts[DIRECT_ROUTING_REJECTED] += 1
            return None
        chosen = self._chosen_endpoint(request)
        self._counts[DIRECT_ROUTING_REJECTED if chosen is None else DIRECTLY_ROUTED] += 1
        return chosen if self._endpoint_list.is_ready(chosen) else None

    def _chosen_endpoint(self, request: ClientRequest) -> api.EndpointId | None:
        event = request_event(self._decisions.next_request_number(), request)
        # The client's deadline limits only its wait for the name of an endpoint. The request that it then
        # sends to that endpoint has the timeout of its class.
        event.deadline = self._clock.now() + self._classes.rules[request.request_class].timeout
        for action in self._decisions.handle(event):
            if isinstance(action, api.Fetch | api.Lookup):
                not_sent = api.AttemptOutcome.NOT_SENT
                self._decisions.handle(api.AttemptEnded(event.id, 0, action.endpoint, not_sent, 0.0, True))
                return action.endpoint
        return None
