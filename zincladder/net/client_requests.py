"""Converts a client's call to a request for the core, and the core's answer to a reply. No I/O."""

from __future__ import annotations

from collections.abc import Mapping, Set

from zincladder.core.answers import ANSWER_MARGIN_SECONDS, Answer, AnswerKind
from zincladder.core.attempt import ClientRequest
from zincladder.core.attempt_end import EndReason
from zincladder.core.engine import Core
from zincladder.net import protocol, thrift
from zincladder.net.errors import InvalidFieldsError
from zincladder.routing import interface as api

MAX_REQUEST_BODY_BYTES = 48_000
MIN_TIMEOUT_SECONDS = 0.001
REJECTED_EXCEPTION, FAILED_EXCEPTION = 1, 2  # field ids of `Throttled` and `Broken` in a reply


def read_client_request(
    core: Core, open_traces: Set[str], fields: Mapping[str, str], body: bytes, arrived_at: float
) -> ClientRequest:
    """Reads the request from the fields and the body of a call.

    Args:
        core: Provides the request classes and their settings.
        open_traces: The trace ids of the open requests.
        fields: The call's fields.
        body: The call's body.
        arrived_at: When the call arrived, on the core's clock.

    Raises:
        InvalidFieldsError: The request is invalid; the text is sent to the client.
    """
    attributes = protocol.read_request(fields)
    class_name = attributes["request_class"]
    request_class = core.classes.number_of(class_name, arrived_at)
    if request_class is None:
        raise InvalidFieldsError(f"'route' names no class: {class_name[:20]!r}")
    rules, timeout = core.settings.classes[request_class], attributes["deadline"] / 1000
    # A request may occupy memory for twice the timeout of its class at most.
    if timeout > 2 * rules.timeout:
        raise InvalidFieldsError(
            f"'patience' must be {2000 * rules.timeout:g} at most, not {fields['patience']!r}"
        )
    # Without the idempotency key a repeated write could not be deduplicated.
    if rules.idempotency is api.Idempotency.WITH_KEY and "key" not in attributes:
        raise InvalidFieldsError("'nonce' is missing: a request of this class must have an idempotency key")
    if len(body) > MAX_REQUEST_BODY_BYTES:
        raise InvalidFieldsError(f"a body of {len(body)} bytes, {MAX_REQUEST_BODY_BYTES} at most")
    attributes |= {
        "request_class": request_class,
        "deadline": arrived_at + max(MIN_TIMEOUT_SECONDS, timeout - ANSWER_MARGIN_SECONDS),
        "write": rules.uncacheable,
        "body": body,
    }
    request = ClientRequest(**attributes)
    if request.trace in open_traces:
        # The answer of a cache is matched to its request by the trace id, so two open requests must not
        # share one.
        raise InvalidFieldsError(f"'trace' is the id of a request that is open: {request.trace}")
    return request


def write_reply(seq: int, answer: Answer) -> list[bytes | bytearray]:
    """Serializes the reply to the request with this sequence number."""
    if answer.end is not None:
        if answer.end.reason is EndReason.NOT_MODIFIED:
            return thrift.answer("handle", seq, b"", {"current": "1"}, True)
        return thrift.answer("handle", seq, answer.end.body, {}, True)
    if answer.kind is AnswerKind.REJECTED:
        fields = {"pause": str(round(answer.retry_after * 1000))} if answer.retry_after > 0 else {}
        return thrift.declared_exception("handle", seq, REJECTED_EXCEPTION, fields)
    return thrift.declared_exception("handle", seq, FAILED_EXCEPTION, {})
