"""One exchange with a cache: a message, the wait for its answer, and what is done when it is abandoned."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from time import monotonic

from zincladder.core.attempt import AbortReason, AttemptRequest
from zincladder.core.attempt_end import AttemptEnd, EndReason
from zincladder.net.cache_connection import CacheConnection, PendingExchange
from zincladder.net.sockets import has_unsent_bytes
from zincladder.net.write_queue import QueuedWrite
from zincladder.routing import interface as api

SILENT_CACHE_SECONDS = 0.8  # without a byte from a cache that owes an answer: its connection is retired
MIN_RETRANSMIT_SECONDS = 0.2  # after which a system at the earliest sends again what was not acknowledged

END_OF_ABORT = {
    AbortReason.CANCELLED: EndReason.CANCELLED,
    AbortReason.DEADLINE_EXCEEDED: EndReason.DEADLINE_EXCEEDED,
    AbortReason.CLIENT_DISCONNECTED: EndReason.CANCELLED,
    AbortReason.DEDUPLICATION_EXPIRED: EndReason.DEADLINE_EXCEEDED,
    AbortReason.ENDPOINT_NOT_READY: EndReason.DRAINING,
    AbortReason.LIST_OUT_OF_DATE: EndReason.DEADLINE_EXCEEDED,
    AbortReason.SOURCE_NOT_READY: EndReason.DRAINING,
}


def abort_before_send(attempt: AttemptRequest, reason: AbortReason) -> AttemptEnd:
    """The end of an attempt that was not sent: what it was decided by has changed since."""
    attempt.guard.aborted_before_send(attempt, reason)
    fill_outcome = api.FillOutcome.NONE
    if reason is AbortReason.SOURCE_NOT_READY:
        fill_outcome = api.FillOutcome.SOURCE_FAILED
    return AttemptEnd(END_OF_ABORT[reason], fill_outcome=fill_outcome, detail=reason.description)


async def run_exchange(
    connection: CacheConnection,
    exchange_id: bytes,
    serialize: Callable[[], Sequence[bytes]],
    attempt: AttemptRequest | None,
) -> AttemptEnd:
    """Sends one message and waits for its answer; cancelled, it is abandoned on the wire too.

    Args:
        connection: Where it goes.
        exchange_id: The id that the answer repeats.
        serialize: Gives the message as of the moment in which its first byte goes.
        attempt: The attempt; None for a health check.
    """
    exchange = PendingExchange(attempt is None, attempt.request.tag if attempt else "")
    connection.register(exchange_id, exchange)
    started_at, received_before = monotonic(), connection.read_buffer.received

    def on_done(written: bool) -> None:
        if attempt is not None and written:
            attempt.guard.written()
        elif attempt is not None:
            # Guards the request: it was aborted at the last check, and nobody else says so.
            reason = attempt.abort_reason() or AbortReason.ENDPOINT_NOT_READY
            exchange.finish(abort_before_send(attempt, reason))

    # Guards the time limit that the cache gets: it is what is left as the first byte goes.
    write = exchange.write = connection.write_queue.put(
        (), attempt.may_start if attempt else None, on_done, serialize
    )
    try:
        while exchange.end is None:
            await exchange.ended.wait()
        return exchange.end
    finally:
        if connection.open.get(exchange_id) is exchange:  # abandoned, or aborted before it was sent
            del connection.open[exchange_id]
        if exchange.end is None:
            # Guards the next request here: what comes of an answer that has begun would be read before its
            # own, for as long as the rest takes to come.
            connection.retired |= connection.reading
            if not connection.closed and not connection.write_queue.cancel(write):
                if attempt is not None:
                    _abandon(connection, exchange_id, write)
                elif write.parts and not connection.open:
                    connection.close()
                _retire_if_cut_off(connection, started_at, received_before)
        connection.close_if_retired()


def _abandon(connection: CacheConnection, exchange_id: bytes, write: QueuedWrite) -> None:
    if write.parts and not connection.open:
        # Guards a request that has not arrived completely, and so never ran: the rest of it, written behind,
        # would have it run after all.
        connection.close()
    else:
        connection.write_queue.put([b"abort " + exchange_id + b"\r\n"])


def _retire_if_cut_off(connection: CacheConnection, started_at: float, received_before: int) -> None:
    # Guards against a machine that is cut off: its connection stays up and silent, and only a new one, which
    # does not come up, proves that the next request never ran.
    is_silent = connection.read_buffer.received == received_before
    waited_seconds = monotonic() - started_at
    connection.retired |= is_silent and waited_seconds > SILENT_CACHE_SECONDS
    # What the cache's system has not taken goes out whenever it does: closed at once, if nothing else is open
    # here, this side's system drops it.
    connection.retired |= waited_seconds > MIN_RETRANSMIT_SECONDS and has_unsent_bytes(connection.sock)
