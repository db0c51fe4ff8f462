"""Serves GET /metrics over HTTP/1.1."""

from __future__ import annotations

from time import monotonic
from typing import Protocol

import anyio
import anyio.abc
import h11
import structlog

from zincladder.admission.descriptor_budget import DescriptorUse
from zincladder.admission.model import RejectionReason
from zincladder.config import Address

EXCHANGE_TIMEOUT_SECONDS = 10.0  # a connection's whole response is sent so soon after it was accepted
METRICS_PATH = b"/metrics"
log = structlog.get_logger()


class MetricsText(Protocol):
    """A registry that can render its metrics as text."""

    def text(self) -> str:
        """Returns the current samples in the Prometheus text format."""


class ConnectionLimiter(Protocol):
    """Decides whether a new connection is accepted, and tracks the accepted ones."""

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        """Registers a connection; returns NONE if it is accepted, else why the caller must close it."""

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        """Registers the end of an accepted connection."""


class MetricsExporter:
    """Serves a registry's metrics over HTTP, one request per connection."""

    def __init__(self, listen: Address, registry: MetricsText, admission: ConnectionLimiter) -> None:
        self._listen, self._registry, self._admission = listen, registry, admission

    async def run(self, *, task_status: anyio.abc.TaskStatus[Address] = anyio.TASK_STATUS_IGNORED) -> None:
        """Listens and serves until cancelled; passes the address to `task_status.started`.

        Raises OSError if the address is in use.
        """
        host, port = self._listen
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port, reuse_port=True)
        async with listener:
            task_status.started((host, listener.extra(anyio.abc.SocketAttribute.local_port)))
            await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        async with stream:
            host = str(stream.extra(anyio.abc.SocketAttribute.remote_address)[0])
            reason = self._admission.open_connection(DescriptorUse.METRICS, host, monotonic())
            if reason is not RejectionReason.NONE:
                return
            try:
                with anyio.fail_after(EXCHANGE_TIMEOUT_SECONDS):
                    await self._serve_request(stream)
            except (h11.ProtocolError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError) as error:
                log.info("metrics connection failed", reason=str(error) or type(error).__name__)
            finally:
                self._admission.close_connection(DescriptorUse.METRICS, host)

    async def _serve_request(self, stream: anyio.abc.SocketStream) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await stream.receive())
            elif isinstance(event, h11.Request):
                await self._respond(connection, event, stream)
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    async def _respond(
        self, connection: h11.Connection, request: h11.Request, stream: anyio.abc.SocketStream
    ) -> None:
        status = _status_code(request)
        body = self._registry.text().encode() if status == 200 else b""
        headers = [
            ("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        events: list[h11.Event] = [h11.Response(status_code=status, headers=headers)]
        if request.method != b"HEAD":
            events.append(h11.Data(body))
        events.append(h11.EndOfMessage())
        await stream.send(b"".join(connection.send(event) or b"" for event in events))


def _status_code(request: h11.Request) -> int:
    if request.target.split(b"?")[0] != METRICS_PATH:
        return 404
    return 200 if request.method in (b"GET", b"HEAD") else 405
