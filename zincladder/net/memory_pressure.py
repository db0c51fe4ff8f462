"""Closes connections of clients whose memory others wait for, and logs what holds the memory."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from time import monotonic

from zincladder.admission.message_memory import MessageMemory
from zincladder.admission.model import ConnectionSlot
from zincladder.core.attempt_end import EndReason
from zincladder.core.counts import Counts
from zincladder.core.loop_monitor import LoopMonitor
from zincladder.net.client_closing import ClientCloser
from zincladder.net.client_connection import ClientConnection
from zincladder.net.incomplete_messages import IncompleteMessages
from zincladder.net.sockets import peek_unread
from zincladder.support.lingering_close import NO_LINGER_SECONDS
from zincladder.support.process_memory import resident_bytes
from zincladder.support.rate_limited_log import RateLimitedLog

# If new connections wait for a descriptor, a connection with an incomplete message is closed after this time.
MAX_INCOMPLETE_IN_CROWD_SECONDS = 0.5
HIGH_MEMORY_SHARE = 0.8  # of the memory limit; above it, a log line says what holds the memory


class MemoryPressure:
    """What a server of clients does while memory or descriptors are short."""

    def __init__(
        self,
        clients: Mapping[ConnectionSlot, ClientConnection],
        closer: ClientCloser,
        message_memory: MessageMemory,
        answers_wait: Callable[[], bool],
        counts: Counts,
        loop_monitor: LoopMonitor,
    ) -> None:
        """Creates it for the connections in `clients`, which the server changes.

        `answers_wait` returns whether answers wait for memory that others hold.
        """
        self._clients, self._closer, self._counts = clients, closer, counts
        self._loop_monitor = loop_monitor
        self._message_memory, self._answers_wait = message_memory, answers_wait
        self.incomplete_messages = IncompleteMessages(message_memory.incomplete, self._evict_incomplete)
        self._rate_limited_log = RateLimitedLog()

    def tick(self, now: float) -> None:
        """Closes the connections whose memory others wait for."""
        self.incomplete_messages.tick(now)
        if self._answers_wait() or self._message_memory.unread.is_full:
            self._close_clients_that_do_not_read(now)

    def is_incomplete_for_long(self, client: ClientConnection) -> bool:
        """Returns whether nothing but a part of a message has come from a client for a while."""
        started_at = client.message_started_at
        incomplete_seconds = monotonic() - started_at if started_at else 0.0
        is_used = client.open_requests or client.read_progress.keeps_pace(monotonic())
        return (
            incomplete_seconds > MAX_INCOMPLETE_IN_CROWD_SECONDS
            and not is_used
            and not peek_unread(client.sock, 1).data
        )

    def _close_clients_that_do_not_read(self, now: float) -> None:
        for client in list(self._clients.values()):
            progress = client.read_progress
            if client.closed or not client.write_queue.size or not progress.is_behind(now):
                continue
            self._rate_limited_log.warning(
                "client connection closed because others need the memory of its unread answers",
                behind_s=round(progress.behind_seconds(now), 3),
                unread_s=round(progress.silent_seconds(now), 3),
                unread_bytes=client.write_queue.size,
                acknowledged_bytes=client.write_queue.acknowledged_bytes(),
                loop_lag_s=round(self._loop_monitor.lag_seconds, 3),
            )
            self._close(client)

    def _evict_incomplete(self, slot: ConnectionSlot) -> bool:
        """Closes a connection whose message does not arrive, unless there is input that may complete it."""
        client = self._clients.get(slot)
        if client is None or client.closed or peek_unread(client.sock, 1).data:
            return False
        if client.read_progress.keeps_pace(monotonic()):
            return False  # its answers are on their way
        self._rate_limited_log.warning(
            "client connection closed because others need the memory of its incomplete message",
            incomplete_s=round(monotonic() - client.message_started_at, 3),
        )
        self._close(client)
        return True

    def _close(self, client: ClientConnection) -> None:
        self._counts["client_ends", EndReason.PEER_STALLED.value] += 1
        self._closer.close(client, NO_LINGER_SECONDS)

    def log_high_memory(self, memory_mb: int, open_requests: int) -> None:
        """Logs what clients make this process hold, if its memory use is near the limit of `memory_mb`."""
        resident = resident_bytes()
        if resident < HIGH_MEMORY_SHARE * (memory_mb << 20):
            return
        clients, memory = self._clients.values(), self._message_memory
        self._rate_limited_log.warning(
            "memory use is high",
            resident_mb=resident >> 20,
            memory_mb=memory_mb,
            client_connections=len(clients),
            incomplete_messages=sum(client.message_started_at > 0 for client in clients),
            open_requests=open_requests,
            incomplete_bytes=memory.incomplete.used,
            body_bytes=memory.bodies.used,
            answer_bytes=memory.answers.used,
            unread_bytes=memory.unread.used,
            answers_wait=self._answers_wait(),
        )
