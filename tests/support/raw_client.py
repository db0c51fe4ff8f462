"""A client of the front's service that writes and reads raw bytes on a socket."""

from __future__ import annotations

import contextlib
import socket
import struct
from collections.abc import Iterator

import anyio

from tests.support.front_configuration import KEY
from tests.support.front_world import RunningFront
from zincladder.net import thrift


@contextlib.contextmanager
def raw_connection(w: RunningFront) -> Iterator[socket.socket]:
    """Yields a client's non-blocking socket; calls on it do not let the front's event loop run."""
    with socket.create_connection(w.listening.clients) as sock:
        sock.setblocking(False)
        yield sock


def frame(verb: str, seq: int, args: bytes = b"") -> bytes:
    message = thrift._message(thrift.CALL, verb, seq) + args + b"\0"
    return struct.pack(">i", len(message)) + message


def request(seq: int, **fields: str) -> bytes:
    defaults = {
        "route": "page",
        "trace": f"{seq:016x}",
        "patience": "2000",
        "entity": KEY,
        "slice": "0",
        "set": "1",
    }
    return frame(
        "handle", seq, b"\x0d\0\1" + thrift._encode_string_map(defaults | fields) + b"\x0b\0\2\0\0\0\0"
    )


async def receive_chunk(sock: socket.socket) -> bytes:
    """Waits for data, and returns the next chunk."""
    with anyio.fail_after(5):
        await anyio.wait_readable(sock)
    return sock.recv(1 << 16)


async def receive_all(sock: socket.socket) -> bytes:
    """Reads until the front closes the connection; raises ConnectionResetError if it is reset."""
    received = b""
    with anyio.fail_after(5):
        while True:
            try:
                chunk = sock.recv(1 << 16)
            except BlockingIOError:
                await anyio.wait_readable(sock)
                continue
            if not chunk:
                return received
            received += chunk
