"""Holds a client's requests back until the input behind them has been read.

A client's close is visible only once all that it sent before has been received. Requests that were forwarded
earlier could be those of a client that has left, since the receive buffer may hold much less than it sent.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from zincladder.net.client_connection import ClientConnection, OpenRequest

MAX_REQUESTS_HELD = 64  # read one after the other without a pause; more are not held back


class ReadAhead:
    """The requests of one connection that were read and not started yet."""

    def __init__(
        self, client: ClientConnection, start: Callable[[OpenRequest], None], holding: set[ReadAhead]
    ) -> None:
        """Creates it for a connection.

        Args:
            client: The connection.
            start: Starts one request.
            holding: Those of all connections that hold requests back; `tick` has to be called for them.
        """
        self._client, self._start, self._holding = client, start, holding
        self._held: list[OpenRequest] = []
        self._received_at_tick = 0

    def add(self, open_request: OpenRequest) -> None:
        """Holds back a request that was just read."""
        self._held.append(open_request)
        self._holding.add(self)
        self._received_at_tick = -1
        if len(self._held) >= MAX_REQUESTS_HELD:
            self.start()

    def start(self) -> None:
        """Starts the requests, because reading is about to wait for something else than input."""
        held, self._held = self._held, []
        self._holding.discard(self)
        for open_request in held:
            self._start(open_request)

    def start_if_all_is_read(self) -> None:
        """Starts the requests if nothing has arrived behind them, neither input nor the client's close."""
        if self._held and not self._client.read_buffer.buffered() and self._is_socket_empty():
            self.start()

    def _is_socket_empty(self) -> bool:
        try:
            self._client.sock.recv(1, socket.MSG_PEEK)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False  # input, the client's close, or an error, which the reader handles

    def tick(self) -> None:
        """Starts the requests if a message behind them stays incomplete: nothing came since the last tick."""
        received = self._client.read_buffer.received
        if received == self._received_at_tick and self._is_socket_empty():
            self.start()
        self._received_at_tick = received
