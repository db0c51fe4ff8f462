"""The framed, strict binary protocol of Thrift, as far as the front's service needs it."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

VERSION, VERSION_MASK = 0x80010000, 0xFFFF0000
CALL, REPLY, EXCEPTION, ONEWAY = 1, 2, 3, 4
STOP, BOOL, BYTE, DOUBLE = 0, 2, 3, 4
I16, I32, I64 = 6, 8, 10
STRING, STRUCT, MAP, SET, LIST = 11, 12, 13, 14, 15
UNKNOWN_METHOD, INTERNAL_ERROR, PROTOCOL_ERROR = 1, 6, 7
MAX_FRAME_BYTES = 1 << 16  # the body of a write has 48,000 bytes at most
MAX_NESTING = 16
# Fields and elements of one message, but for elements of a fixed size. The time to read a message grows with
# their number, and a request has ten.
MAX_VALUES = 1024
_SIZE_OF_TYPE = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}  # types of a fixed size, in bytes
_I32 = struct.Struct(">i")
_MAP = struct.Struct(">BBi")  # key type, value type, number of entries
MAX_SCANNED_MESSAGES = 1024  # a client may have 32 requests open, so it has few to withdraw
_WITHDRAW_METHOD = b"withdraw"
_METHOD_OFFSET = 8  # the method's name follows the version and the name's length


class MalformedMessageError(Exception):
    """A message violates the protocol."""


@dataclass(slots=True)
class Call:
    """A message of a client."""

    method: str
    kind: int  # message type: CALL or ONEWAY in a valid message
    seq: int  # sequence number
    fields: dict[str, str]
    body: bytes
    withdrawn_seq: int  # the argument of `withdraw`: the sequence number of a request


class _Reader:
    """Reads values in order; each method raises MalformedMessageError if there is no valid value."""

    def __init__(self, data: bytes | bytearray | memoryview) -> None:
        self.view, self.position = memoryview(data), 0
        self._values_left = MAX_VALUES

    def _count(self, values: int) -> None:
        self._values_left -= values
        if self._values_left < 0:
            raise MalformedMessageError(f"message has more than {MAX_VALUES} values")

    def take(self, size: int) -> memoryview:
        if size < 0 or self.position + size > len(self.view):
            raise MalformedMessageError(f"value of {size} bytes exceeds its frame")
        self.position += size
        return self.view[self.position - size : self.position]

    def byte(self) -> int:
        return self.take(1)[0]

    def i32(self) -> int:
        return int(_I32.unpack(self.take(4))[0])

    def text(self) -> str:
        try:
            return str(self.take(self.i32()), "utf-8")
        except UnicodeDecodeError:
            raise MalformedMessageError("string is not valid UTF-8") from None

    def field(self) -> tuple[int, int]:
        self._count(1)
        kind = self.byte()
        return (kind, 0) if kind == STOP else (kind, int.from_bytes(self.take(2), "big", signed=True))

    def texts(self) -> dict[str, str]:
        key, value, count = _MAP.unpack(self.take(6))
        if count and (key, value) != (STRING, STRING):
            raise MalformedMessageError("map has keys or values that are not strings")
        if count < 0 or count * 8 > len(self.view):
            raise MalformedMessageError(f"map has an invalid number of entries: {count}")
        self._count(count)
        return {self.text(): self.text() for _ in range(count)}

    def skip(self, kind: int, depth: int = 0) -> None:
        """Skips the value of an unknown field, which a newer client may send."""
        if depth > MAX_NESTING:
            raise MalformedMessageError("value is nested too deeply")
        if kind in _SIZE_OF_TYPE:
            self.take(_SIZE_OF_TYPE[kind])
        elif kind == STRING:
            self.take(self.i32())
        elif kind == STRUCT:
            while (inner := self.field()[0]) != STOP:
                self.skip(inner, depth + 1)
        elif kind in (MAP, SET, LIST):
            self._skip_collection([self.byte() for _ in range(2 if kind == MAP else 1)], depth)
        else:
            raise MalformedMessageError(f"value has unknown type {kind}")

    def _skip_collection(self, kinds: list[int], depth: int) -> None:
        count = self.i32()
        if count < 0 or count > len(self.view):
            raise MalformedMessageError(f"collection has an invalid number of entries: {count}")
        if all(kind in _SIZE_OF_TYPE for kind in kinds):
            self.take(count * sum(_SIZE_OF_TYPE[kind] for kind in kinds))
            return
        self._count(count)
        for _ in range(count):
            for kind in kinds:
                self.skip(kind, depth + 1)


def read_call(data: bytes | bytearray | memoryview) -> Call:
    """Reads the message in a frame.

    Raises:
        MalformedMessageError: The frame does not hold exactly one valid message.
    """
    reader = _Reader(data)
    version = reader.i32() & 0xFFFFFFFF
    if version & VERSION_MASK != VERSION:
        raise MalformedMessageError(f"message does not begin with the strict binary version: {version:#010x}")
    method, seq = reader.text(), reader.i32()
    fields: dict[str, str] = {}
    body, withdrawn_seq = b"", 0
    while (field := reader.field())[0] != STOP:
        if method == "handle" and field == (MAP, 1):
            fields = reader.texts()
        elif method == "handle" and field == (STRING, 2):
            body = bytes(reader.take(reader.i32()))
        elif method == "withdraw" and field == (I32, 1):
            withdrawn_seq = reader.i32()
        else:
            reader.skip(field[0])
    if reader.position != len(reader.view):
        raise MalformedMessageError(f"frame has {len(reader.view) - reader.position} bytes after the message")
    return Call(method, version & 0xFF, seq, fields, body, withdrawn_seq)


def find_withdrawn(unread: bytes | bytearray, start: int) -> Iterator[int]:
    """Finds `withdraw` messages in unread bytes; yields the sequence number of each withdrawn request.

    Looks at complete frames only, of which the first begins at `start`, at MAX_SCANNED_MESSAGES at most, and
    stops at a malformed one. Nothing is consumed: the connection's read task handles all messages, including
    malformed ones.
    """
    position, messages = start, 0
    if _WITHDRAW_METHOD not in unread:
        return
    while len(unread) - position >= _I32.size and messages < MAX_SCANNED_MESSAGES:
        messages += 1
        size = int(_I32.unpack_from(unread, position)[0])
        start_of_message, position = position + _I32.size, position + _I32.size + size
        if not 0 < size <= MAX_FRAME_BYTES or position > len(unread):
            return
        method_start = start_of_message + _METHOD_OFFSET
        if unread[method_start : method_start + len(_WITHDRAW_METHOD)] == _WITHDRAW_METHOD:
            try:
                yield read_call(unread[start_of_message:position]).withdrawn_seq
            except MalformedMessageError:
                return


def _encode_string(text: str) -> bytes:
    data = text.encode()
    return _I32.pack(len(data)) + data


def _encode_string_map(fields: Mapping[str, str]) -> bytes:
    entries = b"".join(_encode_string(key) + _encode_string(value) for key, value in fields.items())
    return _MAP.pack(STRING, STRING, len(fields)) + entries


def _message(kind: int, method: str, seq: int) -> bytes:
    return _I32.pack((VERSION | kind) - (1 << 32)) + _encode_string(method) + _I32.pack(seq)


def _with_frame_length(*parts: bytes | bytearray) -> list[bytes | bytearray]:
    return [_I32.pack(sum(map(len, parts))) + parts[0], *parts[1:]]


def answer(
    method: str, seq: int, body: bytes | bytearray, fields: Mapping[str, str], succeeded: bool
) -> list[bytes | bytearray]:
    """Serializes a reply that holds an Answer; the body is a part of its own, so that it is not copied."""
    head = _message(REPLY, method, seq) + b"\x0c\x00\x00" + b"\x0b\x00\x01" + _I32.pack(len(body))
    tail = b"\x0d\x00\x02" + _encode_string_map(fields) + b"\x02\x00\x03" + bytes([succeeded]) + b"\x00\x00"
    return _with_frame_length(head, body, tail)


def declared_exception(
    method: str, seq: int, field_id: int, fields: Mapping[str, str]
) -> list[bytes | bytearray]:
    """Serializes a reply that holds a declared exception; its field id is 1 for Throttled, 2 for Broken."""
    head = _message(REPLY, method, seq) + b"\x0c" + field_id.to_bytes(2, "big")
    return _with_frame_length(head + b"\x0d\x00\x01" + _encode_string_map(fields) + b"\x00\x00")


def application_exception(method: str, seq: int, kind: int, text: str) -> list[bytes | bytearray]:
    """Serializes a TApplicationException, for an unknown method or an invalid request."""
    head = _message(EXCEPTION, method, seq) + b"\x0b\x00\x01" + _encode_string(text)
    return _with_frame_length(head + b"\x08\x00\x02" + _I32.pack(kind) + b"\x00")
