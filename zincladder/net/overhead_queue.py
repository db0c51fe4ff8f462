"""Delays clients whose messages concern no request, so that the others get their share of the event loop."""

from __future__ import annotations

from time import monotonic

import anyio

from zincladder.admission.overhead_limiter import OverheadLimiter
from zincladder.net.client_connection import ClientConnection

READ_SECONDS = 20e-6  # time to read a message from its socket, which is not measured with its handling


class OverheadQueue:
    """The connections whose last message concerned no request, and that wait to be read again."""

    def __init__(self) -> None:
        self._limiter = OverheadLimiter()
        self._turn = anyio.Lock()  # held by the connection that is read next

    def record(self, client: ClientConnection, handling_seconds: float) -> None:
        """Records the time that a client's message took; 0 for one that concerned a request."""
        reserved, client.overhead_reserved = client.overhead_reserved, 0.0
        client.overhead_seconds = handling_seconds + READ_SECONDS if handling_seconds else 0.0
        if client.overhead_seconds or reserved:
            self._limiter.charge(client.overhead_seconds - reserved, monotonic())

    def must_wait(self, client: ClientConnection) -> bool:
        """Returns whether the next message of a client is read only after a wait."""
        if not client.overhead_seconds:
            return False
        return self._turn.locked() or self._limiter.wait_seconds(monotonic()) > 0

    async def wait_for_turn(self, client: ClientConnection) -> None:
        """Waits until the client's next message may be read, in the order of the calls.

        As much time as the last message took is charged in advance; otherwise all that wait would be read at
        once.
        """
        async with self._turn:
            await anyio.sleep(self._limiter.wait_seconds(monotonic()))
            client.overhead_reserved = client.overhead_seconds
            self._limiter.charge(client.overhead_reserved, monotonic())
