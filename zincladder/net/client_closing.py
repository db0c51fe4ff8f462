"""Closes connections of clients without losing an answer or a request that is in flight."""

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
from zincladder.support.lingering_close import LINGER_SECONDS, NO_LINGER_SECONDS, lingering_close
from zincladder.support.rate_limited_log import RateLimitedLog
from zincladder.support.read_pace import MAX_BEHIND_SECONDS
from zincladder.support.send_buffer import unacknowledged_bytes

CLOSE_BYTES = 1  # the end of a connection counts as a byte until it is acknowledged


class ClientCloser:
    """Closes connections of clients on the front's initiative."""

    def __init__(self, core: Core) -> None:
        self._core = core
        self._rate_limited_log = RateLimitedLog()

    def close_idle(
        self,
        client: ClientConnection,
        reason: str = EndReason.IDLE_CLOSED.value,
        linger_seconds: float = LINGER_SECONDS,
        others_wait: bool = False,
    ) -> bool:
        """Closes a connection if it is idle: no open request, no answer on its way and no unread input.

        Answers in the system's send buffer are on their way as long as the client reads. Until it has read
        them it can't see the close behind them, and goes on sending.

        The socket is checked for input immediately before the close is sent, so that a request which has
        arrived is still answered. Input that arrives later is never forwarded.

        Args:
            client: The connection.
            reason: The value under which the end of the connection is counted.
            linger_seconds: How long to wait for the client's own close.
            others_wait: Whether others wait for its descriptor; then the client has to keep the least pace.

        Returns:
            True if the connection was idle and is closed now.
        """
        has_partial_message = client.message_started_at or client.read_buffer.buffered()
        if client.open_requests or client.write_queue.size or has_partial_message or client.closed:
            return False
        progress, now = client.read_progress, monotonic()
        if not progress.may_be_evicted(now) if others_wait else progress.is_reading(now):
            return False
        try:
            client.sock.recv(1, socket.MSG_PEEK)
            return False  # the connection's read task handles this message, or the client's own close
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
        """Like `close_idle`, but gives a client that has just connected time to send its first request."""
        if not client.has_sent_message and monotonic() - client.connected_at < MIN_IDLE_SECONDS:
            return False
        return self.close_idle(client)

    def fail_unwritten(self, client: ClientConnection) -> int:
        """Fails the open requests of a client that may not read all its answers before the process ends.

        It still reads earlier ones, or has many requests open, whose answers would come at once. Also
        replaces the answers that wait behind others, since short ones may still arrive. Returns how many were
        replaced.
        """
        reads_slowly = client.read_progress.reads_slowly(monotonic())
        if not (reads_slowly or client.has_many_requests):
            return 0
        open_requests = [open_request.request for open_request in client.open_requests.values()]
        if open_requests:
            self._core.fail_open_requests(open_requests)
        return client.write_queue.use_fallbacks()

    def close(self, client: ClientConnection, linger_seconds: float) -> None:
        """Closes a connection at once; each of its open requests is answered as failed before that."""
        if client.closed:
            return
        open_requests, client.open_requests = client.open_requests, {}
        if open_requests:
            self._core.fail_open_requests([open_request.request for open_request in open_requests.values()])
        for seq, open_request in open_requests.items():
            self._core.record_answer(open_request.request.request_class, AnswerKind.FAILED)
            client.write_queue.put(write_reply(seq, Answer(AnswerKind.FAILED)))
            open_request.scope.cancel()
        client.close(linger_seconds)

    async def linger(self, client: ClientConnection, linger_seconds: float) -> None:
        """Gives a client whose connection is closed the time to take its answers, and to close its side."""
        max_behind_seconds = max(linger_seconds, MAX_BEHIND_SECONDS) if linger_seconds else NO_LINGER_SECONDS
        await client.write_queue.drain(max_behind_seconds)
        await lingering_close(client.sock, linger_seconds)

    def log_undelivered(self, client: ClientConnection, stopping: bool) -> None:
        """Logs that a connection ends whose client has not taken all its answers, unless it has left."""
        unacknowledged = unacknowledged_bytes(client.sock) - CLOSE_BYTES
        if client.linger_seconds is None or not (client.write_queue.size or unacknowledged > 0):
            return
        self._rate_limited_log.warning(
            "client connection closed with answers on their way",
            queued_bytes=client.write_queue.size,
            unacknowledged_bytes=unacknowledged,
            behind_s=round(client.read_progress.behind_seconds(monotonic()), 3),
            stopping=stopping,
        )
