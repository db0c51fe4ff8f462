"""Serves GET /metrics over HTTP/1.1."""

from __future__ import annotations

import socket
from time import monotonic
from typing import Protocol

import anyio
import anyio.abc
import h11
import structlog

from zincladder.admission.descriptor_budget import DescriptorUse
from zincladder.admission.model import RejectionReason
from zincladder.config import Address
from zincladder.support.lingering_close import LINGER_SECONDS, lingering_close
from zincladder.support.listeners import accept_connections, open_listener
from zincladder.support.rate_limited_log import RateLimitedLog
from zincladder.support.socket_io import receive, send_all

EXCHANGE_TIMEOUT_SECONDS = 10.0  # a connection's whole response is sent so soon after it was accepted
METRICS_PATH = b"/metrics"
READ_BYTES = 4096
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
    """Serves a registry's metrics over HTTP, one request per connection.

    Whatever a peer sends, and whenever it resets its connection, only that connection ends: the exporter runs
    in the process that serves requests or votes.
    """

    def __init__(self, listen: Address, registry: MetricsText, admission: ConnectionLimiter) -> None:
        self._listen, self._registry, self._admission = listen, registry, admission
        self._rate_limited_log = RateLimitedLog()

    async def run(self, *, task_status: anyio.abc.TaskStatus[Address] = anyio.TASK_STATUS_IGNORED) -> None:
        """Listens and serves until cancelled; passes the address to `task_status.started`.

        Raises OSError if the address is in use.
        """
        with open_listener(self._listen) as listener:
            async with anyio.create_task_group() as tasks:

                def handle(sock: socket.socket, host: str) -> None:
                    reason = self._admission.open_connection(DescriptorUse.METRICS, host, monotonic())
                    if reason is RejectionReason.NONE:
                        tasks.start_soon(self._serve_connection, sock, host)
                    else:
                        sock.close()

                task_status.started(listener.getsockname()[:2])
                await accept_connections(listener, handle, self._rate_limited_log.warning)

    async def _serve_connection(self, sock: socket.socket, host: str) -> None:
        try:
            sock.setblocking(False)
            with anyio.fail_after(EXCHANGE_TIMEOUT_SECONDS):
                await self._serve_request(sock)
                await lingering_close(sock, LINGER_SECONDS)
        except (h11.ProtocolError, OSError) as error:  # a TimeoutError too
            reason = str(error) or type(error).__name__
            self._rate_limited_log.info("metrics connection failed", reason=reason)
        except Exception:  # an error in one request must end its connection only, not the process
            log.exception("failed to serve the metrics")
        finally:
            sock.close()
            self._admission.close_connection(DescriptorUse.METRICS, host)

    async def _serve_request(self, sock: socket.socket) -> None:
        connection = h11.Connection(h11.SERVER)
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await receive(sock, READ_BYTES))
            elif isinstance(event, h11.Request):
                await send_all(sock, self._response(connection, event))
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _response(self, connection: h11.Connection, request: h11.Request) -> bytes:
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
        return b"".join(connection.send(event) or b"" for event in events)


def _status_code(request: h11.Request) -> int:
    if request.target.split(b"?")[0] != METRICS_PATH:
        return 404
    return 200 if request.method in (b"GET", b"HEAD") else 405
