"""Tests that no peer of the metrics endpoint can end the process in which it runs."""

from __future__ import annotations

import contextlib
import errno
import os
import random
import socket
import struct
from collections.abc import AsyncIterator

import anyio
import anyio.to_thread
import pytest

from zincladder.admission.descriptor_budget import DescriptorUse
from zincladder.admission.model import RejectionReason
from zincladder.config import Address
from zincladder.metrics.exporter import MetricsExporter

pytestmark = pytest.mark.anyio
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER
REQUEST = b"GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
BODY = "answers 1\n" * 1_000_000  # more than socket buffers hold


class CountingLimiter:
    """Accepts every connection and counts the open ones."""

    def __init__(self) -> None:
        self.open = 0

    def open_connection(self, use: DescriptorUse, host: str, now: float) -> RejectionReason:
        assert host == "127.0.0.1"
        self.open += 1
        return RejectionReason.NONE

    def close_connection(self, use: DescriptorUse, host: str) -> None:
        self.open -= 1


class TextOfErrors:
    """Raises an error for every other request."""

    def __init__(self, text: str) -> None:
        self.requests, self._text = 0, text

    def text(self) -> str:
        self.requests += 1
        if self.requests % 2:
            raise ZeroDivisionError("a fault of the registry")
        return self._text


class PlainText:
    def text(self) -> str:
        return BODY


@contextlib.asynccontextmanager
async def exporter(registry: PlainText | TextOfErrors) -> AsyncIterator[tuple[Address, CountingLimiter]]:
    limiter = CountingLimiter()
    async with anyio.create_task_group() as tasks:
        address = await tasks.start(MetricsExporter(("127.0.0.1", 0), registry, limiter).run)
        yield address, limiter
        tasks.cancel_scope.cancel()


async def scrape(address: Address) -> bytes:
    def read_page() -> bytes:
        with socket.create_connection(address, 5.0) as sock:
            sock.sendall(REQUEST)
            page = b""
            while data := sock.recv(1 << 16):
                page += data
            return page

    return await anyio.to_thread.run_sync(read_page)


def reset_after(address: Address, data: bytes, pause: bool) -> None:
    """Connects, sends `data`, and resets the connection; without a pause before the server can run."""
    with socket.create_connection(address, 5.0) as sock:
        if data:
            sock.sendall(data)
        if pause:
            sock.settimeout(0.05)
            with contextlib.suppress(TimeoutError):
                sock.recv(1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


@pytest.mark.parametrize(
    "data",
    [b"", REQUEST[:9], REQUEST, b"\0\r\n\r\n", random.Random(1).randbytes(300)],
    ids=["nothing", "part of a request", "a request", "no request", "random bytes"],
)
async def test_a_reset_of_a_new_connection_ends_that_connection_alone(data: bytes) -> None:
    # Guards against an AttributeError on the peer's address that ended the whole front.
    async with exporter(PlainText()) as (address, limiter):
        # All are accepted by the kernel, and reset, before the exporter's task runs.
        for _ in range(20):
            reset_after(address, data, pause=False)
        for _ in range(3):
            await anyio.to_thread.run_sync(reset_after, address, data, True)
        assert (await scrape(address)).endswith(BODY[-100:].encode())
        with anyio.fail_after(5):
            while limiter.open:
                await anyio.sleep(0.01)


@pytest.mark.parametrize("seed", range(3))
async def test_random_peers_end_only_their_own_connections(seed: int) -> None:
    generator = random.Random(seed)
    async with exporter(PlainText()) as (address, limiter):
        for _ in range(40):
            data = bytearray(REQUEST * generator.randrange(1, 4))
            for _ in range(generator.randrange(3)):
                data[generator.randrange(len(data))] = generator.randrange(256)
            sent = bytes(data[: generator.randrange(len(data) + 1)])
            await anyio.to_thread.run_sync(reset_after, address, sent, generator.random() < 0.2)
        assert (await scrape(address)).endswith(BODY[-100:].encode())
        with anyio.fail_after(15):
            while limiter.open:
                await anyio.sleep(0.01)


async def test_a_page_is_sent_whole_to_a_scraper_that_reads_slowly_and_sends_more() -> None:
    # A close with unread input resets the connection, and a page that is not read yet goes with it.
    async with exporter(PlainText()) as (address, _):

        def read_slowly() -> bytes:
            with socket.create_connection(address, 5.0) as sock:
                sock.sendall(REQUEST + b"more than one request")
                page, pauses = b"", 0
                while data := sock.recv(1 << 18):
                    page += data
                    pauses += 1
                    if pauses < 10:
                        anyio.from_thread.run(anyio.sleep, 0.02)
                return page

        assert (await anyio.to_thread.run_sync(read_slowly)).endswith(BODY[-100:].encode())


async def test_an_error_of_the_registry_ends_one_connection_alone() -> None:
    async with exporter(TextOfErrors("page\n")) as (address, limiter):
        assert await scrape(address) == b""
        assert (await scrape(address)).endswith(b"page\n")
        assert not limiter.open


# The errors of accept(2) that concern one connection, or pass by.
ACCEPT_ERRORS = [
    errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPERM, errno.EPROTO,
    errno.ENETDOWN, errno.ENOPROTOOPT, errno.EHOSTDOWN, errno.ENONET, errno.EHOSTUNREACH, errno.EOPNOTSUPP,
    errno.ENETUNREACH, errno.EINTR, errno.EAGAIN, errno.ETIMEDOUT,
]  # fmt: skip


async def test_a_failed_accept_ends_no_exporter(monkeypatch: pytest.MonkeyPatch) -> None:
    errors, accept = list(ACCEPT_ERRORS), socket.socket.accept

    def fail_first(self: socket.socket) -> tuple[socket.socket, tuple[str, int]]:
        if errors:
            error = errors.pop(0)
            raise OSError(error, os.strerror(error))
        return accept(self)

    monkeypatch.setattr(socket.socket, "accept", fail_first)
    async with exporter(PlainText()) as (address, _):
        assert (await scrape(address)).endswith(BODY[-100:].encode())
    assert not errors
