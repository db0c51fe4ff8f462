"""The DNS front's sockets: UDP and TCP on one address."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from time import monotonic

import anyio
import structlog

from zincladder.admission.descriptor_budget import DescriptorUse
from zincladder.admission.interface import Admission
from zincladder.admission.model import RejectionReason
from zincladder.admission.response_rate_limiter import DatagramVerdict
from zincladder.config import Address
from zincladder.core.attempt_end import EndReason
from zincladder.core.clock import Clock
from zincladder.dns.answers import MOST_SIZE, Answers
from zincladder.net.client_listener import reject_connection
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.read_buffer import ReadBuffer
from zincladder.net.sockets import address_family
from zincladder.net.write_queue import WriteQueue
from zincladder.support.rate_limited_log import RateLimitedLog

IDLE = 5.0  # of a TCP connection between queries, and for the rest of one
BACKLOG = 64
BURST = 64  # datagrams taken in a row before the other tasks have their turn
log = structlog.get_logger()


async def at_once() -> None:
    """Waits for nothing."""


class DnsServer:
    """Serves queries until it is cancelled."""

    def __init__(
        self,
        listen: Address,
        answers: Answers,
        clock: Clock,
        admission: Admission,
        settled: Callable[[], Awaitable[None]] = at_once,
    ) -> None:
        """Queries wait in the system's queue until `settled` returns: a name answered wrongly is kept."""
        self._answers, self._clock, self._admission, self._settled = answers, clock, admission, settled
        self._udp = socket.socket(address_family(listen[0]), socket.SOCK_DGRAM)
        self._tcp = socket.socket(address_family(listen[0]), socket.SOCK_STREAM)
        self._tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for sock in (self._udp, self._tcp):
            # At an upgrade both processes answer: each from its own decisions, on the same list.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        try:
            self._tcp.bind(listen)
            self.address: Address = self._tcp.getsockname()[:2]
            self._udp.bind(self.address)
            self._tcp.listen(BACKLOG)
        except OSError:
            self.close()
            raise
        for sock in (self._udp, self._tcp):
            sock.setblocking(False)
        self._warn = RateLimitedLog()

    def close(self) -> None:
        self._udp.close()
        self._tcp.close()

    async def run(self) -> None:
        try:
            await self._settled()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._datagrams)
                while True:
                    try:
                        sock, peer = self._tcp.accept()
                    except (BlockingIOError, InterruptedError):
                        await anyio.wait_readable(self._tcp)
                        continue
                    except OSError as fault:
                        self._warn.warning("dns accept failed", why=str(fault))
                        await anyio.sleep(0.01)
                        continue
                    why = self._admission.open_connection(DescriptorUse.DNS, peer[0], monotonic())
                    if why is RejectionReason.NONE:
                        tasks.start_soon(self._connection, sock, peer[0])
                    else:
                        reject_connection(sock)  # UDP goes on
                        self._warn.warning("dns connection turned away", why=why.value)
        finally:
            self.close()

    async def _datagrams(self) -> None:
        while True:
            await anyio.wait_readable(self._udp)
            for _ in range(BURST):
                try:
                    data, peer = self._udp.recvfrom(4096)
                except (BlockingIOError, InterruptedError):
                    break
                except OSError:  # what an earlier answer met at a peer that is gone
                    continue
                given = self._admission.judge_datagram(peer[0], monotonic())
                if given is DatagramVerdict.ANSWER:
                    response = self._respond(data, MOST_SIZE)
                else:
                    response = self._answers.truncated(data) if given is DatagramVerdict.TRUNCATED else None
                if response is not None:
                    try:
                        self._udp.sendto(response, peer)
                    except OSError as fault:  # as good as lost on the way: the resolver asks again
                        log.info("dns answer not sent", why=str(fault))

    def _respond(self, data: bytes, most: int | None) -> bytes | None:
        try:
            return self._answers.respond(data, self._clock.now(), most)
        except Exception:
            log.exception("dns query failed")  # one query must not end the front
            return None

    async def _connection(self, sock: socket.socket, host: str) -> None:
        try:
            sock.setblocking(False)
            read_buffer, write_queue = ReadBuffer(sock), WriteQueue(sock)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write, write_queue, tasks)
                try:
                    while True:
                        with anyio.fail_after(IDLE):
                            size = int.from_bytes(await read_buffer.read_exactly(2), "big")
                            data = bytes(await read_buffer.read_exactly(size))
                        response = self._respond(data, None)
                        if response is None:
                            raise ConnectionEndedError(
                                EndReason.PROTOCOL_ERROR, "a message that cannot be answered"
                            )
                        write_queue.put([len(response).to_bytes(2, "big"), response])
                except (ConnectionEndedError, TimeoutError) as end:
                    if isinstance(end, ConnectionEndedError) and end.reason is EndReason.PROTOCOL_ERROR:
                        log.info("dns connection ended", why=str(end))
                tasks.cancel_scope.cancel()
        finally:
            sock.close()
            self._admission.close_connection(DescriptorUse.DNS, host)

    async def _write(self, write_queue: WriteQueue, tasks: anyio.abc.TaskGroup) -> None:
        try:
            await write_queue.run(IDLE)
        except ConnectionEndedError:
            tasks.cancel_scope.cancel()
