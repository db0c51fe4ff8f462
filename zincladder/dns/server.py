"""The DNS front's server: UDP and TCP on one address."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from time import monotonic

import anyio

from zincladder.admission.descriptor_budget import DescriptorUse
from zincladder.admission.interface import Admission
from zincladder.admission.model import RejectionReason
from zincladder.admission.response_rate_limiter import DatagramVerdict
from zincladder.config import Address
from zincladder.core.attempt_end import EndReason
from zincladder.core.clock import Clock
from zincladder.dns.answers import MAX_UDP_BYTES, DnsResponder
from zincladder.net.client_listener import reject_connection
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.read_buffer import ReadBuffer
from zincladder.net.write_queue import WriteQueue
from zincladder.support.lingering_close import LINGER_SECONDS, lingering_close
from zincladder.support.listeners import address_family
from zincladder.support.rate_limited_log import RateLimitedLog
from zincladder.support.read_pace import MAX_BEHIND_SECONDS

IDLE_TIMEOUT_SECONDS = 5.0  # limit over TCP for receiving a whole query, and for writing a response
LENGTH_PREFIX_BYTES = 2  # over TCP each message is preceded by its length (RFC 1035, 4.2.2)
MAX_TCP_BYTES = 0xFFFF  # what the length can say
MAX_QUERY_BYTES = 4096  # over UDP and TCP; a query is one question with a few options
MAX_UNREAD_RESPONSE_BYTES = 16_384  # above this the next query of a TCP connection is not read
UNREAD_CHECK_INTERVAL_SECONDS = 0.05
ACCEPT_RETRY_SECONDS = 0.01
LISTEN_BACKLOG = 64  # connections that wait to be accepted
MAX_DATAGRAMS_IN_A_ROW = 64  # after this many datagrams, other tasks can run before the next one is read


async def return_at_once() -> None:
    """Returns without waiting: the default of `wait_until_ready`."""


class DnsServer:
    """Listens on UDP and TCP as soon as it is created; `run` serves the queries."""

    def __init__(
        self,
        listen: Address,
        answers: DnsResponder,
        clock: Clock,
        admission: Admission,
        wait_until_ready: Callable[[], Awaitable[None]] = return_at_once,
    ) -> None:
        """Binds both sockets.

        Args:
            listen: The address of both; the operating system chooses a port if it is 0.
            answers: Builds the responses.
            clock: The core's clock, which gives the arrival times of queries.
            admission: Decides which datagrams are answered and which connections are accepted.
            wait_until_ready: Queries stay in the sockets' queues until it returns. An answer that was made
                without an endpoint list could be cached by resolvers.

        Raises:
            OSError: The address cannot be bound.
        """
        self._answers, self._clock, self._admission = answers, clock, admission
        self._wait_until_ready = wait_until_ready
        self._udp = socket.socket(address_family(listen[0]), socket.SOCK_DGRAM)
        self._tcp = socket.socket(address_family(listen[0]), socket.SOCK_STREAM)
        self._tcp.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        for sock in (self._udp, self._tcp):
            # During an upgrade the old and the new process listen together. Each answers with its own routing
            # decisions, from the same endpoint list.
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        try:
            self._tcp.bind(listen)
            self.address: Address = self._tcp.getsockname()[:2]
            self._udp.bind(self.address)
            self._tcp.listen(LISTEN_BACKLOG)
        except OSError:
            self.close()
            raise
        for sock in (self._udp, self._tcp):
            sock.setblocking(False)
        self._rate_limited_log = RateLimitedLog()

    def close(self) -> None:
        """Closes both sockets."""
        self._udp.close()
        self._tcp.close()

    async def run(self) -> None:
        """Serves queries until cancelled, then closes the sockets."""
        try:
            await self._wait_until_ready()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._serve_datagrams)
                await self._accept_connections(tasks)
        finally:
            self.close()

    async def _accept_connections(self, tasks: anyio.abc.TaskGroup) -> None:
        while True:
            try:
                sock, peer = self._tcp.accept()
            except (BlockingIOError, InterruptedError):
                await anyio.wait_readable(self._tcp)
                continue
            except OSError as error:
                self._rate_limited_log.warning("dns connection not accepted", reason=str(error))
                await anyio.sleep(ACCEPT_RETRY_SECONDS)
                continue
            reason = self._admission.open_connection(DescriptorUse.DNS, peer[0], monotonic())
            if reason is RejectionReason.NONE:
                tasks.start_soon(self._serve_connection, sock, peer[0])
            else:
                reject_connection(sock)
                self._rate_limited_log.warning("dns connection rejected", reason=reason.value)

    async def _serve_datagrams(self) -> None:
        while True:
            await anyio.wait_readable(self._udp)
            for _ in range(MAX_DATAGRAMS_IN_A_ROW):
                try:
                    data, peer = self._udp.recvfrom(MAX_QUERY_BYTES)
                except (BlockingIOError, InterruptedError):
                    break
                except OSError:  # the kernel reports that an earlier response was not delivered
                    continue
                response = self._respond_to_datagram(data, peer[0])
                if response is not None:
                    self._send_datagram(response, peer)

    def _respond_to_datagram(self, data: bytes, host: str) -> bytes | None:
        verdict = self._admission.judge_datagram(host, monotonic())
        if verdict is DatagramVerdict.ANSWER:
            return self._respond(data, MAX_UDP_BYTES)
        if verdict is DatagramVerdict.TRUNCATED:
            return self._guarded(self._answers.truncated, data)
        return None

    def _send_datagram(self, response: bytes, peer: Address) -> None:
        try:
            self._udp.sendto(response, peer)
        except OSError as error:  # the resolver retries, as after a loss in the network
            self._rate_limited_log.info("dns response not sent", reason=str(error))

    def _respond(self, data: bytes, max_bytes: int | None) -> bytes | None:
        return self._guarded(self._answers.respond, data, self._clock.now(), max_bytes)

    def _guarded(self, respond: Callable[..., bytes | None], *args: object) -> bytes | None:
        """Returns a response, or None after an error: one query must not stop the front."""
        try:
            return respond(*args)
        except Exception:
            self._rate_limited_log.exception("dns query failed")
            return None

    async def _serve_connection(self, sock: socket.socket, host: str) -> None:
        try:
            sock.setblocking(False)
            write_queue, reading = WriteQueue(sock), anyio.CancelScope()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._write_responses, write_queue, reading)
                with reading:
                    await self._serve_queries(ReadBuffer(sock), write_queue)
                write_queue.stop()
            if not reading.cancel_called:  # the resolver reads
                await write_queue.drain(MAX_BEHIND_SECONDS)
                await lingering_close(sock, LINGER_SECONDS)
        except Exception:  # an error in one connection must not stop the front
            self._rate_limited_log.exception("dns connection failed")
        finally:
            sock.close()
            self._admission.close_connection(DescriptorUse.DNS, host)

    async def _serve_queries(self, read_buffer: ReadBuffer, write_queue: WriteQueue) -> None:
        try:
            while True:
                while write_queue.size > MAX_UNREAD_RESPONSE_BYTES:
                    await anyio.sleep(UNREAD_CHECK_INTERVAL_SECONDS)
                await self._serve_query(read_buffer, write_queue)
        except TimeoutError:
            pass
        except ConnectionEndedError as error:
            if error.reason is EndReason.PROTOCOL_ERROR:
                self._rate_limited_log.info("dns connection closed after a protocol error", reason=str(error))

    async def _serve_query(self, read_buffer: ReadBuffer, write_queue: WriteQueue) -> None:
        """Reads one query and queues its response.

        Raises ConnectionEndedError if the connection has ended or the message cannot be answered, and
        TimeoutError if no whole query arrives in time.
        """
        with anyio.fail_after(IDLE_TIMEOUT_SECONDS):
            size = int.from_bytes(await read_buffer.read_exactly(LENGTH_PREFIX_BYTES), "big")
            if size > MAX_QUERY_BYTES:
                raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, f"query of {size} bytes is too long")
            data = bytes(await read_buffer.read_exactly(size))
        response = self._respond(data, None)
        if response is None or len(response) > MAX_TCP_BYTES:
            raise ConnectionEndedError(EndReason.PROTOCOL_ERROR, "the message cannot be answered")
        write_queue.put([len(response).to_bytes(LENGTH_PREFIX_BYTES, "big"), response])

    async def _write_responses(self, write_queue: WriteQueue, reading: anyio.CancelScope) -> None:
        try:
            await write_queue.run(IDLE_TIMEOUT_SECONDS)
        except ConnectionEndedError:
            reading.cancel()
