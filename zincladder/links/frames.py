"""The format of a link: frames, and the greetings that come first. No I/O.

    frame = length:4 crc:4 body                     crc: CRC-32C of the body; both big-endian

The first body each way is a greeting: `Hello` from the side that connects, `Welcome` or `Rejected` from the
other. What follows is up to the two. Bodies are msgspec's msgpack.
"""

from __future__ import annotations

import struct

import msgspec
from crc32c import crc32c

from zincladder.links.errors import FrameError

VERSION = 1
FRAME_HEADER = struct.Struct(">II")
MAX_BODY_BYTES = 1 << 20
MAX_GREETING_BYTES = 2048  # of a body before the other side is known
MAX_NAME_LENGTH = 100
MAX_SHOWN_LENGTH = 40  # of what a peer has sent, in a message about it


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Who connects: a replica of a group, a front, a worker, or an operator's command.

    `instance_id` tells one directory or process from another of the same name.
    """

    version: int
    group: str
    role: str
    name: str
    instance_id: str = ""


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """Who answers."""

    name: str
    instance_id: str


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """The greeting is not accepted; the link ends."""

    reason: str


Greeting = Welcome | Rejected


def encode_frame(body: bytes) -> bytes:
    """A body as a frame. ValueError for one that no reader takes."""
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a message of {len(body)} bytes, {MAX_BODY_BYTES} at most")
    return FRAME_HEADER.pack(len(body), crc32c(body)) + body


class FrameDecoder:
    """Bytes in, bodies out. Holds at most one frame of `max_body_bytes` and one read."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._data, self.max_body_bytes = bytearray(), max_body_bytes

    def feed(self, data: bytes) -> list[bytes]:
        """The bodies that are complete now. FrameError where the bytes are no frame."""
        self._data += data
        bodies: list[bytes] = []
        offset = 0
        while offset + FRAME_HEADER.size <= len(self._data):
            length, checksum = FRAME_HEADER.unpack_from(self._data, offset)
            if length > self.max_body_bytes:
                raise FrameError(f"a message of {length} bytes, {self.max_body_bytes} at most")
            start = offset + FRAME_HEADER.size
            end = start + length
            if end > len(self._data):
                break
            body = bytes(self._data[start:end])
            if crc32c(body) != checksum:
                raise FrameError("a message that was changed on its way")
            bodies.append(body)
            offset = end
        del self._data[:offset]
        return bodies


def handshake_error(hello: Hello, group: str, roles: tuple[str, ...]) -> str:
    """Why a member of the group can't accept this greeting; empty if it can."""
    if hello.version != VERSION:
        return f"links of version {hello.version}, not {VERSION}"
    if hello.group != group:
        return f"group {hello.group[:MAX_SHOWN_LENGTH]!r}, not {group!r}"
    if hello.role not in roles:
        return f"role {hello.role[:MAX_SHOWN_LENGTH]!r}, only {', '.join(roles)}"
    if not hello.name or len(hello.name) > MAX_NAME_LENGTH:
        return f"no name, or one of more than {MAX_NAME_LENGTH} letters"
    return ""
