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

IDLE = 10.0
log = structlog.get_logger()


class Text(Protocol):
    """What is told."""

    def text(self) -> str:
        """The text format of Prometheus."""


class Visits(Protocol):
    """Who may ask."""

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        """A connection has come: NONE if it may stay."""

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        """One that stayed is gone."""


class MetricsExporter:
    """Serves the registry's text until it is cancelled."""

    def __init__(self, listen: Address, registry: Text, admission: Visits) -> None:
        self._listen, self._registry, self._admission = listen, registry, admission

    async def run(self, *, task_status: anyio.abc.TaskStatus[Address] = anyio.TASK_STATUS_IGNORED) -> None:
        host, port = self._listen
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port, reuse_port=True)
        async with listener:
            task_status.started((host, listener.extra(anyio.abc.SocketAttribute.local_port)))
            await listener.serve(self._connection)

    async def _connection(self, stream: anyio.abc.SocketStream) -> None:
        talk = h11.Connection(h11.SERVER)
        async with stream:
            host = str(stream.extra(anyio.abc.SocketAttribute.remote_address)[0])
            if (
                self._admission.open_connection(DescriptorUse.METRICS, host, monotonic())
                is not RejectionReason.NONE
            ):
                return
            try:
                with anyio.fail_after(IDLE):
                    while True:
                        event = talk.next_event()
                        if event is h11.NEED_DATA:
                            talk.receive_data(await stream.receive())
                        elif isinstance(event, h11.Request):
                            await self._answer(talk, event, stream)
                            return
                        elif isinstance(event, h11.ConnectionClosed):
                            return
            except (h11.ProtocolError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError) as fault:
                log.info("metrics connection ended", why=str(fault) or type(fault).__name__)
            finally:
                self._admission.close_connection(DescriptorUse.METRICS, host)

    async def _answer(
        self, talk: h11.Connection, request: h11.Request, stream: anyio.abc.SocketStream
    ) -> None:
        found = request.target.split(b"?")[0] == b"/metrics"
        allowed = request.method in (b"GET", b"HEAD")
        status = 404 if not found else 200 if allowed else 405
        body = self._registry.text().encode() if status == 200 else b""
        headers = [
            ("Content-Type", "text/plain; version=0.0.4; charset=utf-8"),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        parts: list[h11.Event] = [h11.Response(status_code=status, headers=headers)]
        if request.method != b"HEAD":
            parts.append(h11.Data(body))
        await stream.send(b"".join(talk.send(part) or b"" for part in (*parts, h11.EndOfMessage())))
