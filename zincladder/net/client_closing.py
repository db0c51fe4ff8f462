"""How the front closes a client's connection, without losing an answer or a request that is on its way."""

from __future__ import annotations

import contextlib
import socket
from time import monotonic

from zincladder.admission.connection_slots import MIN_IDLE_SECONDS
from zincladder.core.answers import Answer, AnswerKind
from zincladder.core.attempt_end import EndReason
from zincladder.core.engine import Core
from zincladder.net.client_connection import ClientConnection
from zincladder.net.client_requests import write_reply
from zincladder.support.lingering_close import LINGER_SECONDS


class ClientCloser:
    """Closes connections of clients from this side."""

    def __init__(self, core: Core) -> None:
        self._core = core

    def close_idle(
        self,
        client: ClientConnection,
        reason: str = EndReason.IDLE_CLOSED.value,
        linger_seconds: float = LINGER_SECONDS,
    ) -> bool:
        """Closes a connection on which nothing is open, unwritten or unread; whether it was one.

        Guards a request that is on its way: it is looked for at the last moment, and the close is sent at
        once. What comes after that is never forwarded.
        """
        has_partial_message = client.message_started_at or client.read_buffer.buffered()
        if client.open or client.write_queue.size or has_partial_message or client.closed:
            return False
        try:
            client.sock.recv(1, socket.MSG_PEEK)
            return False  # a message, or the client's own close: its reader finds it
        except BlockingIOError:
            pass
        except OSError:
            return False
        with contextlib.suppress(OSError):
            client.sock.shutdown(socket.SHUT_WR)
        self._core.counts["client_ends", reason] += 1
        client.close(linger_seconds)
        return True

    def close_idle_at_shutdown(self, client: ClientConnection) -> bool:
        """`close_idle`, but a client that has just connected gets the time to send its first request."""
        if not client.has_sent_message and monotonic() - client.connected_at < MIN_IDLE_SECONDS:
            return False
        return self.close_idle(client)

    def close(self, client: ClientConnection, linger_seconds: float) -> None:
        """Closes a connection whatever is open: each request that was read gets its one answer first."""
        if client.closed:
            return
        open_requests, client.open = client.open, {}
        if open_requests:
            self._core.fail_open_requests([opened.request for opened in open_requests.values()])
        for seq, opened in open_requests.items():
            self._core.record_answer(opened.request.request_class, AnswerKind.FAILED)
            client.write_queue.put(write_reply(seq, Answer(AnswerKind.FAILED)))
        client.close(linger_seconds)
