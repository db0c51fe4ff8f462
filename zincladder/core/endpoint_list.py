"""The endpoint list of this front, and the wait until it is current enough for routing decisions."""

from __future__ import annotations

from collections.abc import Callable
from time import monotonic

import anyio

from zincladder.core.counts import WAITED_FOR_LIST, Counts
from zincladder.core.request_context import RequestContext
from zincladder.discovery.freshness import Freshness
from zincladder.routing import interface as api


def poll_nothing() -> None:
    """Does nothing; the default if no watch on the coordinator runs."""


class EndpointList:
    """All endpoints on the list by id, with their states.

    `freshness` tracks whether the list is current; it is None if no watch on the coordinator runs.
    `poll_watch_events` processes the watch events that have arrived and are unread, without waiting. Both are
    set by the code that starts the watch.
    """

    def __init__(self, counts: Counts) -> None:
        self.endpoints: dict[api.EndpointId, api.Endpoint] = {}
        self.freshness: Freshness | None = None
        self.poll_watch_events: Callable[[], None] = poll_nothing
        self._counts = counts
        self._changed = anyio.Event()

    def update(self, kind: api.UpdateKind, endpoints: tuple[api.Endpoint, ...]) -> None:
        """Replaces the whole list, or applies changes to it."""
        if kind is not api.UpdateKind.DELTA:
            self.endpoints.clear()
        for endpoint in endpoints:
            if endpoint.state is api.EndpointState.GONE:
                self.endpoints.pop(endpoint.id, None)
            else:
                self.endpoints[endpoint.id] = endpoint

    def is_ready(self, endpoint: api.EndpointId | None) -> bool:
        """Returns whether an endpoint may be sent requests now; True for None (no endpoint)."""
        if endpoint is None:
            return True
        listed = self.endpoints.get(endpoint)
        return listed is not None and listed.state is api.EndpointState.READY

    def ready_count(self) -> int:
        """Returns the number of endpoints that may be sent requests."""
        return sum(endpoint.state is api.EndpointState.READY for endpoint in self.endpoints.values())

    # Freshness ------------------------------------------------------------------------------------

    def is_current(self) -> bool:
        """Returns whether the list is current enough for routing decisions now."""
        self.poll_watch_events()
        return self.freshness is None or self.freshness.seconds_until_usable(monotonic()) <= 0

    async def wait_until_current(self, context: RequestContext, max_seconds: float) -> bool:
        """Waits until the list is current enough for routing decisions.

        Returns False if that takes longer than `max_seconds`, or if the request is answered meanwhile. With
        an outdated list a request could be sent to a draining endpoint, be answered from a purged copy, or
        overload an endpoint that is still in slow start.
        """
        if self.freshness is None or self.is_current():
            return True
        self._counts[WAITED_FOR_LIST] += 1
        deadline = monotonic() + max_seconds
        while (wait := self.freshness.seconds_until_usable(monotonic())) > 0:
            left = deadline - monotonic()
            if left <= 0 or context.answer is not None:
                return False
            with anyio.move_on_after(min(wait, left)):
                await self._changed.wait()
        return context.answer is None

    def has_synced(self) -> bool:
        """Returns whether the list has been current once since the start; clients can be served then."""
        return self.freshness is None or self.freshness.has_synced(monotonic())

    async def wait_until_synced(self) -> None:
        """Waits until the list is current for the first time since the process started."""
        while self.freshness is not None and not self.has_synced():
            with anyio.move_on_after(self.freshness.seconds_until_usable(monotonic())):
                await self._changed.wait()

    def notify_changed(self) -> None:
        """Wakes the requests that wait for a current list, so that they check again."""
        waiting, self._changed = self._changed, anyio.Event()
        waiting.set()
