"""Routing without forwarding: the client itself connects to the endpoint that the router names."""

from __future__ import annotations

from typing import Protocol

from zincladder.core.attempt import ClientRequest
from zincladder.core.clock import Clock
from zincladder.core.counts import DIRECT_ROUTING_REJECTED, DIRECTLY_ROUTED, Counts
from zincladder.core.endpoint_list import EndpointList
from zincladder.core.request_classes import RequestClasses
from zincladder.core.router_messages import request_event
from zincladder.routing import interface as api


class Decisions(Protocol):
    """The part of the core that direct routing asks."""

    def next_request_number(self) -> int:
        """A number that no request had before."""

    def paused_seconds(self, request_class: int) -> float:
        """Seconds for which a request of this class may not be decided; 0: it may."""

    def handle(self, event: api.Event) -> list[api.Action]:
        """The router's actions on an event."""


class DirectRouting:
    """Names endpoints to clients, as the DNS front does."""

    def __init__(
        self,
        decisions: Decisions,
        clock: Clock,
        classes: RequestClasses,
        endpoint_list: EndpointList,
        counts: Counts,
    ) -> None:
        self._decisions, self._clock, self._classes = decisions, clock, classes
        self._endpoint_list, self._counts = endpoint_list, counts

    def route_only(self, request: ClientRequest) -> api.EndpointId | None:
        """The endpoint to which a client is directed; None where the router rejects the request.

        The outcome stays unknown, so the router is notified of none: the attempt ends as not sent.
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
        # The client's deadline ends its wait for the name; what follows has the class's own time.
        event.deadline = self._clock.now() + self._classes.rules[request.request_class].timeout
        for action in self._decisions.handle(event):
            if isinstance(action, api.Fetch | api.Lookup):
                not_sent = api.AttemptOutcome.NOT_SENT
                self._decisions.handle(api.AttemptEnded(event.id, 0, action.endpoint, not_sent, 0.0, True))
                return action.endpoint
        return None
