"""Framed Thrift, strict binary: just what the front's service needs, read in place."""

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
MAX_FRAME_BYTES = 1 << 16  # a write brings 48,000 bytes at most
MAX_NESTING = 16
_FIXED = {BOOL: 1, BYTE: 1, DOUBLE: 8, I16: 2, I32: 4, I64: 8}
_I32 = struct.Struct(">i")
_MAP = struct.Struct(">BBi")
_WITHDRAW_VERB = b"withdraw"
_VERB_OFFSET = 8  # the verb's text follows the version and its own length


class MalformedMessageError(Exception):
    """The bytes are not the protocol's."""


@dataclass(slots=True)
class Call:
    """One message of a client."""

    verb: str
    kind: int
    seq: int
    fields: dict[str, str]
    body: bytes
    number: int  # the argument of `withdraw`


class _Reader:
    """Reads values in order; each method raises MalformedMessageError where there is none."""

    def __init__(self, data: bytes | bytearray | memoryview) -> None:
        self.view, self.position = memoryview(data), 0

    def take(self, size: int) -> memoryview:
        if size < 0 or self.position + size > len(self.view):
            raise MalformedMessageError(f"a field of {size} bytes runs past its frame")
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
            raise MalformedMessageError("a text is not UTF-8") from None

    def field(self) -> tuple[int, int]:
        kind = self.byte()
        return (kind, 0) if kind == STOP else (kind, int.from_bytes(self.take(2), "big", signed=True))

    def texts(self) -> dict[str, str]:
        key, value, count = _MAP.unpack(self.take(6))
        if count and (key, value) != (STRING, STRING):
            raise MalformedMessageError("a map that is not of texts")
        if count < 0 or count * 8 > len(self.view):
            raise MalformedMessageError(f"a map of {count} entries")
        return {self.text(): self.text() for _ in range(count)}

    def skip(self, kind: int, depth: int = 0) -> None:
        """Passes over a field of a newer client."""
        if depth > MAX_NESTING:
            raise MalformedMessageError("fields nested too deep")
        if kind in _FIXED:
            self.take(_FIXED[kind])
        elif kind == STRING:
            self.take(self.i32())
        elif kind == STRUCT:
            while (inner := self.field()[0]) != STOP:
                self.skip(inner, depth + 1)
        elif kind in (MAP, SET, LIST):
            kinds = [self.byte() for _ in range(2 if kind == MAP else 1)]
            count = self.i32()
            if count < 0 or count > len(self.view):
                raise MalformedMessageError(f"a collection of {count} entries")
            for _ in range(count):
                for inner in kinds:
                    self.skip(inner, depth + 1)
        else:
            raise MalformedMessageError(f"a field of unknown type {kind}")


def read_call(data: bytes | bytearray | memoryview) -> Call:
    """The message in a frame.

    Raises:
        MalformedMessageError: The frame holds none.
    """
    reader = _Reader(data)
    version = reader.i32() & 0xFFFFFFFF
    if version & VERSION_MASK != VERSION:
        raise MalformedMessageError(f"not strict binary: {version:#010x}")
    verb, seq = reader.text(), reader.i32()
    fields: dict[str, str] = {}
    body, number = b"", 0
    while (field := reader.field())[0] != STOP:
        if verb == "handle" and field == (MAP, 1):
            fields = reader.texts()
        elif verb == "handle" and field == (STRING, 2):
            body = bytes(reader.take(reader.i32()))
        elif verb == "withdraw" and field == (I32, 1):
            number = reader.i32()
        else:
            reader.skip(field[0])
    if reader.position != len(reader.view):
        raise MalformedMessageError(f"{len(reader.view) - reader.position} bytes after the message")
    return Call(verb, version & 0xFF, seq, fields, body, number)


def find_withdrawn(unread: bytes | bytearray, start: int) -> Iterator[int]:
    """The requests that complete `withdraw` messages in these bytes name; the first frame begins at `start`.

    Looks ahead of the reader, to whom all else is left, also what cannot be read.
    """
    position = start
    while len(unread) - position >= _I32.size:
        size = int(_I32.unpack_from(unread, position)[0])
        start_of_message, position = position + _I32.size, position + _I32.size + size
        if not 0 < size <= MAX_FRAME_BYTES or position > len(unread):
            return
        verb_start = start_of_message + _VERB_OFFSET
        if unread[verb_start : verb_start + len(_WITHDRAW_VERB)] == _WITHDRAW_VERB:
            try:
                yield read_call(unread[start_of_message:position]).number
            except MalformedMessageError:
                return


def _text(text: str) -> bytes:
    data = text.encode()
    return _I32.pack(len(data)) + data


def _texts(fields: Mapping[str, str]) -> bytes:
    entries = b"".join(_text(key) + _text(value) for key, value in fields.items())
    return _MAP.pack(STRING, STRING, len(fields)) + entries


def _message(kind: int, verb: str, seq: int) -> bytes:
    return _I32.pack((VERSION | kind) - (1 << 32)) + _text(verb) + _I32.pack(seq)


def _framed(*parts: bytes | bytearray) -> list[bytes | bytearray]:
    return [_I32.pack(sum(map(len, parts))) + parts[0], *parts[1:]]


def answer(
    verb: str, seq: int, body: bytes | bytearray, fields: Mapping[str, str], good: bool
) -> list[bytes | bytearray]:
    """A reply that holds an Answer; the body is a part by itself, so that it is never copied."""
    head = _message(REPLY, verb, seq) + b"\x0c\x00\x00" + b"\x0b\x00\x01" + _I32.pack(len(body))
    tail = b"\x0d\x00\x02" + _texts(fields) + b"\x02\x00\x03" + bytes([good]) + b"\x00\x00"
    return _framed(head, body, tail)


def declared_exception(
    verb: str, seq: int, number: int, fields: Mapping[str, str]
) -> list[bytes | bytearray]:
    """A reply that holds a declared exception: 1 for Throttled, 2 for Broken."""
    head = _message(REPLY, verb, seq) + b"\x0c" + number.to_bytes(2, "big")
    return _framed(head + b"\x0d\x00\x01" + _texts(fields) + b"\x00\x00")


def application_exception(verb: str, seq: int, kind: int, text: str) -> list[bytes | bytearray]:
    """A reply for what the service does not know."""
    head = _message(EXCEPTION, verb, seq) + b"\x0b\x00\x01" + _text(text)
    return _framed(head + b"\x08\x00\x02" + _I32.pack(kind) + b"\x00")
