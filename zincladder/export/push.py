"""Sends one push over HTTP/1.1 and reads its response."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from email.utils import parsedate_to_datetime

import anyio
import anyio.abc
import h11

from zincladder.config import RemoteWriteConfig
from zincladder.export.delivery import PushResponse, parse_retry_after
from zincladder.export.messages import PushBody

CONNECT_TIMEOUT_SECONDS = 5.0  # a receiver that is away is noticed sooner than one that is slow
PUSH_TIMEOUT_SECONDS = 30.0  # for a whole push; a receiver that takes longer gets the same push again
MAX_RESPONSE_BYTES = 1 << 16
MAX_WRITTEN_DIGITS = 9
RETRY_AFTER_HEADER = b"retry-after"
WRITTEN_HEADER = b"x-prometheus-remote-write-samples-written"
# The exceptions that `post` raises if no response arrives.
PUSH_ERRORS = (OSError, TimeoutError, anyio.BrokenResourceError, anyio.EndOfStream, h11.ProtocolError)
Headers = Iterable[tuple[str, str]]


def no_headers() -> Headers:
    """Returns no headers: the default of `further_headers`."""
    return ()


async def post(
    config: RemoteWriteConfig, push: PushBody, further_headers: Callable[[], Headers] = no_headers
) -> PushResponse:
    """Sends one push on a new connection and returns the response.

    Args:
        config: The receiver.
        push: The body and its headers.
        further_headers: Called when the connection is open, right before the request is sent. If it raises,
            nothing is sent.

    Raises:
        One of PUSH_ERRORS: No response arrived.
    """
    connection = h11.Connection(h11.CLIENT)
    with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
        connected = await anyio.connect_tcp(config.host, config.port)
    async with connected as stream:
        headers = [*_headers(config, push), *further_headers()]
        events = (
            h11.Request(method="POST", target=config.path, headers=headers),
            h11.Data(push.body),
            h11.EndOfMessage(),
        )
        await stream.send(b"".join(connection.send(event) or b"" for event in events))
        return _parse_response(await _receive_response(connection, stream))


def _headers(config: RemoteWriteConfig, push: PushBody) -> Headers:
    host = f"[{config.host}]" if ":" in config.host else config.host
    return [
        ("Host", f"{host}:{config.port}"),
        ("Content-Type", push.content_type),
        ("Content-Encoding", "snappy"),
        ("X-Prometheus-Remote-Write-Version", push.version_header),
        ("User-Agent", "zincladder"),
        ("Content-Length", str(len(push.body))),
        ("Connection", "close"),
    ]


async def _receive_response(connection: h11.Connection, stream: anyio.abc.ByteStream) -> h11.Response:
    received_bytes = 0
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            try:
                data = await stream.receive()
            except anyio.EndOfStream:
                data = b""
            received_bytes += len(data)
            if received_bytes > MAX_RESPONSE_BYTES:
                raise h11.RemoteProtocolError("the response is too long")
            connection.receive_data(data)
        elif isinstance(event, h11.Response):
            return event
        elif isinstance(event, h11.ConnectionClosed):
            raise anyio.EndOfStream


def _parse_response(response: h11.Response) -> PushResponse:
    retry_after_seconds: float | None = None
    written_samples: int | None = None
    for name, value in response.headers:
        if name == RETRY_AFTER_HEADER:
            retry_after_seconds = parse_retry_after(value.decode("latin-1"), time.time(), parse_http_date)
        elif name == WRITTEN_HEADER and value.isdigit() and len(value) <= MAX_WRITTEN_DIGITS:
            written_samples = int(value)
    return PushResponse(int(response.status_code), retry_after_seconds, written_samples)


def parse_http_date(text: str) -> float:
    """Parses an HTTP date to Unix seconds. Raises ValueError or TypeError if the text is not a date."""
    return parsedate_to_datetime(text).timestamp()
