"""The form of a link: frames, and who greets whom. No I/O.

    frame = length:4 crc:4 body                     crc: CRC-32C of the body; both big-endian

The first body each way is a greeting: `Hello` from the one that connects, `Welcome` or `Refused` from the
other. All that follows is up to the two. Bodies are msgspec's msgpack.
"""

from __future__ import annotations

import struct

import msgspec
from crc32c import crc32c

VERSION = 1
HEAD = struct.Struct(">II")
MAX_BODY_BYTES = 1 << 20
MAX_GREETING_BYTES = 2048  # of a body before the other side is known


class FrameError(Exception):
    """The other side said what no frame, or no message, is; the link ends."""


class HandshakeRejectedError(Exception):
    """The greeting was not accepted; the text says why."""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """Who connects: one of a group's keepers, a front, or an operator's command.

    `birth` tells one directory or process of that name from another.
    """

    version: int
    group: str
    role: str
    name: str
    birth: str = ""


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """Who answers."""

    name: str
    birth: str


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """Why there will be no talk."""

    why: str


Greeting = Welcome | Rejected


def encode_frame(body: bytes) -> bytes:
    """ValueError for one that no reader takes."""
    if len(body) > MAX_BODY_BYTES:
        raise ValueError(f"a message of {len(body)} bytes, {MAX_BODY_BYTES} at most")
    return HEAD.pack(len(body), crc32c(body)) + body


class FrameDecoder:
    """Bytes in, bodies out; what is held is bounded by one frame of `most` bytes and one read."""

    def __init__(self, most: int = MAX_BODY_BYTES) -> None:
        self._data, self.most = bytearray(), most

    def feed(self, data: bytes) -> list[bytes]:
        """The bodies that are whole now. Spoilt where the bytes are no frame."""
        self._data += data
        found, at = [], 0
        while at + HEAD.size <= len(self._data):
            length, crc = HEAD.unpack_from(self._data, at)
            if length > self.most:
                raise FrameError(f"a message of {length} bytes, {self.most} at most")
            end = at + HEAD.size + length
            if end > len(self._data):
                break
            body = bytes(self._data[at + HEAD.size : end])
            if crc32c(body) != crc:
                raise FrameError("a message that was changed on its way")
            found.append(body)
            at = end
        del self._data[:at]
        return found


def handshake_error(hello: Hello, group: str, roles: tuple[str, ...]) -> str:
    """Why this greeting can't be accepted by a member of the group; empty if it can."""
    if hello.version != VERSION:
        return f"links of version {hello.version}, not {VERSION}"
    if hello.group != group:
        return f"group {hello.group[:40]!r}, not {group!r}"
    if hello.role not in roles:
        return f"role {hello.role[:40]!r}, only {', '.join(roles)}"
    if not hello.name or len(hello.name) > 100:
        return "no name, or one of more than 100 letters"
    return ""
