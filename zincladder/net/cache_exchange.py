"""Runs one exchange with a cache: sends a message, waits for its answer, and cleans up if it is abandoned."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial
from time import monotonic

from zincladder.core.attempt import AbortReason, AttemptRequest
from zincladder.core.attempt_end import AttemptEnd, EndReason
from zincladder.net.cache_connection import CacheConnection, PendingExchange
from zincladder.net.sockets import has_unsent_bytes
from zincladder.net.write_queue import QueuedWrite
from zincladder.routing import interface as api

# If an exchange is abandoned after it has waited longer than this without any byte arriving on its
# connection, the connection is retired.
SILENT_CACHE_SECONDS = 0.8
MIN_RETRANSMIT_SECONDS = 0.2  # the earliest time at which TCP retransmits unacknowledged bytes

END_REASON_OF_ABORT = {
    AbortReason.CANCELLED: EndReason.CANCELLED,
    AbortReason.DEADLINE_EXCEEDED: EndReason.DEADLINE_EXCEEDED,
    AbortReason.CLIENT_DISCONNECTED: EndReason.CANCELLED,
    AbortReason.DEDUPLICATION_EXPIRED: EndReason.DEADLINE_EXCEEDED,
    AbortReason.ENDPOINT_NOT_READY: EndReason.DRAINING,
    AbortReason.LIST_OUT_OF_DATE: EndReason.DEADLINE_EXCEEDED,
    AbortReason.SOURCE_NOT_READY: EndReason.DRAINING,
}


def abort_before_send(attempt: AttemptRequest, reason: AbortReason) -> AttemptEnd:
    """Ends an attempt that may not be sent any more, because the state that led to it has changed."""
    attempt.guard.record_abort(attempt, reason)
    fill_outcome = api.FillOutcome.NONE
    if reason is AbortReason.SOURCE_NOT_READY:
        fill_outcome = api.FillOutcome.SOURCE_FAILED
    return AttemptEnd(END_REASON_OF_ABORT[reason], fill_outcome=fill_outcome, detail=reason.description)


def _pending_exchange(attempt: AttemptRequest | None) -> PendingExchange:
    if attempt is None:
        return PendingExchange(is_health_check=True)
    request = attempt.request
    return PendingExchange(False, request.tag, request.answer_goes_first)


def _may_write(connection: CacheConnection, attempt: AttemptRequest | None) -> bool:
    return not connection.abandoned and (attempt is None or attempt.may_start())


def _end_unwritten(attempt: AttemptRequest | None) -> AttemptEnd:
    """Ends an exchange whose message may not be written, and to which no answer will come."""
    if attempt is None:
        return AttemptEnd(EndReason.DRAINING)
    return abort_before_send(attempt, attempt.abort_reason() or AbortReason.ENDPOINT_NOT_READY)


async def run_exchange(
    connection: CacheConnection,
    exchange_id: bytes,
    serialize: Callable[[], Sequence[bytes]],
    attempt: AttemptRequest | None,
) -> AttemptEnd:
    """Sends one message and waits for its answer.

    If the call is cancelled, a message of which nothing is written is dropped; a written attempt is aborted.

    Args:
        connection: The connection to send on.
        exchange_id: The id that the answer repeats.
        serialize: Returns the message; called just before its first byte is written.
        attempt: The attempt; None for a health check.
    """
    exchange = _pending_exchange(attempt)
    connection.register(exchange_id, exchange)
    started_at, received_before = monotonic(), connection.read_buffer.received

    def on_done(written: bool) -> None:
        if not written:
            exchange.finish(_end_unwritten(attempt))
        elif attempt is not None:
            attempt.guard.written()

    # Each message is serialized just before its first byte is written, so that it states the time left then.
    may_start = partial(_may_write, connection, attempt)
    write = exchange.write = connection.write_queue.put((), may_start, on_done, serialize)
    try:
        while exchange.end is None:
            await exchange.ended.wait()
        return exchange.end
    finally:
        if connection.open_exchanges.get(exchange_id) is exchange:  # cancelled, or refused before it was sent
            del connection.open_exchanges[exchange_id]
        if exchange.end is None:
            # The connection is retired if an answer has begun to arrive: the answer to the next request would
            # have to wait for the rest of it, however long that takes.
            connection.retired |= connection.reading
            if not connection.closed and not connection.write_queue.cancel(write):
                if attempt is not None:
                    _abandon(connection, exchange_id, write)
                elif write.parts and not connection.open_exchanges:
                    connection.close()
                _retire_if_cut_off(connection, started_at, received_before)
        connection.close_if_retired()


def _abandon(connection: CacheConnection, exchange_id: bytes, write: QueuedWrite) -> None:
    """Sends an abort, or closes the connection if the message is incomplete and no other exchange is open."""
    if write.parts and not connection.open_exchanges:
        # The cache has not received the complete request and therefore has not run it. Sending the rest would
        # make the cache run it after all.
        connection.close()
    else:
        connection.write_queue.put([b"abort " + exchange_id + b"\r\n"])


def _retire_if_cut_off(connection: CacheConnection, started_at: float, received_before: int) -> None:
    # A connection to a machine that the network has cut off stays open and silent. If a request is sent on
    # it, it remains unknown whether the request has run. If a new connection is tried instead and fails to
    # open, the request has certainly not run.
    is_silent = connection.read_buffer.received == received_before
    waited_seconds = monotonic() - started_at
    connection.retired |= is_silent and waited_seconds > SILENT_CACHE_SECONDS
    # Bytes that the cache's kernel has not acknowledged may still be delivered later. Retiring the connection
    # closes it at once if no other exchange is open, and the close drops these bytes.
    connection.retired |= waited_seconds > MIN_RETRANSMIT_SECONDS and has_unsent_bytes(connection.sock)
