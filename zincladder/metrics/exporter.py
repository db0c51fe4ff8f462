"""GET /metrics over HTTP/1.1."""

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

EXCHANGE_TIMEOUT_SECONDS = 10.0  # from the start of a connection to the end of its response
PATH = b"/metrics"
log = structlog.get_logger()


class MetricsText(Protocol):
    """A registry of metrics."""

    def text(self) -> str:
        """The samples of this moment in the text format of Prometheus."""


class ConnectionLimiter(Protocol):
    """Decides which connections may stay."""

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        """Count a connection: NONE if it may stay, else the reason for which the caller closes it."""

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        """Count the end of a connection that stayed."""


class MetricsExporter:
    """Serves a registry's text, one request a connection, until it is cancelled."""

    def __init__(self, listen: Address, registry: MetricsText, admission: ConnectionLimiter) -> None:
        self._listen, self._registry, self._admission = listen, registry, admission

    async def run(self, *, task_status: anyio.abc.TaskStatus[Address] = anyio.TASK_STATUS_IGNORED) -> None:
        """Listen, report the address as started, and serve. Raises OSError if the address is taken."""
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
                log.info("metrics connection ended", reason=str(error) or type(error).__name__)
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
        status = _status_of(request)
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


def _status_of(request: h11.Request) -> int:
    if request.target.split(b"?")[0] != PATH:
        return 404
    return 200 if request.method in (b"GET", b"HEAD") else 405
