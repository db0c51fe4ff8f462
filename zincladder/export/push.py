"""One push over HTTP/1.1, and how it ended."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from email.utils import parsedate_to_datetime

import anyio
import h11

from zincladder.config import RemoteWriteConfig
from zincladder.export.delivery import Outcome, retry_after

MOST_ANSWER = 1 << 16
WRITTEN = b"x-prometheus-remote-write-samples-written"
FAILED = (OSError, TimeoutError, anyio.BrokenResourceError, anyio.EndOfStream)
Headers = Iterable[tuple[str, str]]


async def post(
    c: RemoteWriteConfig, body: bytes, kind: str, version: str, more: Callable[[], Headers] = lambda: ()
) -> Outcome:
    """Sends one body; `more` is asked for further headers when the connection is there, right before its
    first byte, and may raise to send none. One of FAILED or h11.ProtocolError where no answer comes.
    """
    host = f"[{c.host}]" if ":" in c.host else c.host
    headers: Headers = [
        ("Host", f"{host}:{c.port}"),
        ("Content-Type", kind),
        ("Content-Encoding", "snappy"),
        ("X-Prometheus-Remote-Write-Version", version),
        ("User-Agent", "zincladder"),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
    ]
    talk = h11.Connection(h11.CLIENT)
    async with await anyio.connect_tcp(c.host, c.port) as stream:
        parts = (
            h11.Request(method="POST", target=c.path, headers=[*headers, *more()]),
            h11.Data(body),
            h11.EndOfMessage(),
        )
        await stream.send(b"".join(talk.send(part) or b"" for part in parts))
        got = 0
        while True:
            event = talk.next_event()
            if event is h11.NEED_DATA:
                try:
                    data = await stream.receive()
                except anyio.EndOfStream:
                    data = b""
                got += len(data)
                if got > MOST_ANSWER:
                    raise h11.RemoteProtocolError("an answer without end")
                talk.receive_data(data)
            elif isinstance(event, h11.Response):
                return _outcome(event)
            elif isinstance(event, h11.ConnectionClosed):
                raise anyio.EndOfStream


def _outcome(response: h11.Response) -> Outcome:
    found = Outcome(int(response.status_code))
    for name, value in response.headers:
        if name == b"retry-after":
            found.retry_after = retry_after(value.decode("latin-1"), time.time(), _unix)
        elif name == WRITTEN and value.isdigit() and len(value) < 10:
            found.written = int(value)
    return found


def _unix(text: str) -> float:
    return parsedate_to_datetime(text).timestamp()
