"""The wire format of a link: frames, and the messages of the handshake. No I/O.

    frame = length:4 crc:4 body                     crc: CRC-32C of the body; both big-endian

Bodies are messages in msgpack, as msgspec encodes them. The first body in each direction belongs to the
handshake: `Hello` from the side that connects, `Welcome` or `Rejected` from the other. The messages after the
handshake depend on the role in the Hello.
"""

from __future__ import annotations

import struct

import msgspec
from crc32c import crc32c

from zincladder.links.errors import FrameError, MessageTooLargeError

VERSION = 1
FRAME_HEADER = struct.Struct(">II")
MAX_BODY_BYTES = 1 << 20
MAX_HANDSHAKE_BYTES = 2048  # limit of a body before the peer is accepted
MAX_NAME_LENGTH = 100
MAX_SHOWN_LENGTH = 40  # characters of a peer's text that an error text quotes


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """The first message of the side that connects: a replica, a front, a worker or an operator's command.

    `instance_id` distinguishes directories or processes with the same name.
    """

    version: int
    group: str
    role: str
    name: str
    instance_id: str = ""


class Welcome(msgspec.Struct, frozen=True, array_like=True, tag="welcome"):
    """Accepts the connection and names the replica that answers."""

    name: str
    instance_id: str


class Rejected(msgspec.Struct, frozen=True, array_like=True, tag="refused"):
    """Rejects the connection, which is then closed."""

    reason: str


HandshakeResponse = Welcome | Rejected


def encode_frame(body: bytes) -> bytes:
    """Encodes a body as a frame. Raises MessageTooLargeError if it exceeds MAX_BODY_BYTES."""
    if len(body) > MAX_BODY_BYTES:
        raise MessageTooLargeError(f"message of {len(body)} bytes exceeds {MAX_BODY_BYTES} bytes")
    return FRAME_HEADER.pack(len(body), crc32c(body)) + body


class FrameDecoder:
    """Decodes a byte stream into bodies. Buffers at most one frame of `max_body_bytes` and one read."""

    def __init__(self, max_body_bytes: int = MAX_BODY_BYTES) -> None:
        self._data, self.max_body_bytes = bytearray(), max_body_bytes

    @property
    def incomplete_bytes(self) -> int:
        """The number of bytes that an incomplete frame holds."""
        return len(self._data)

    def feed(self, data: bytes) -> list[bytes]:
        """Adds bytes and returns the bodies that are complete now. Raises FrameError for an invalid frame."""
        self._data += data
        bodies: list[bytes] = []
        offset = 0
        while offset + FRAME_HEADER.size <= len(self._data):
            length, checksum = FRAME_HEADER.unpack_from(self._data, offset)
            if length > self.max_body_bytes:
                raise FrameError(f"message of {length} bytes exceeds {self.max_body_bytes} bytes")
            start = offset + FRAME_HEADER.size
            end = start + length
            if end > len(self._data):
                break
            body = bytes(self._data[start:end])
            if crc32c(body) != checksum:
                raise FrameError("message checksum does not match")
            bodies.append(body)
            offset = end
        del self._data[:offset]
        return bodies


def handshake_error(hello: Hello, group: str, roles: tuple[str, ...]) -> str:
    """The reason for a member of `group` to reject this Hello; empty if it is acceptable."""
    if hello.version != VERSION:
        return f"links of version {hello.version}, not {VERSION}"
    if hello.group != group:
        return f"group {hello.group[:MAX_SHOWN_LENGTH]!r}, not {group!r}"
    if hello.role not in roles:
        return f"role {hello.role[:MAX_SHOWN_LENGTH]!r}, only {', '.join(roles)}"
    if not hello.name or len(hello.name) > MAX_NAME_LENGTH:
        return f"no name, or one of more than {MAX_NAME_LENGTH} letters"
    return ""
