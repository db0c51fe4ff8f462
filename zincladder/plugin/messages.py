"""Reads and changes Thrift messages: the request in a call, sequence numbers, and the kind of a reply."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.protocol.TProtocol import TProtocolBase
from thrift.Thrift import TMessageType, TType
from thrift.transport.TTransport import TMemoryBuffer, TTransportBase, TTransportException

FRAME_LENGTH_BYTES = 4
COMPACT_PROTOCOL_ID = 0x82
ID_FIELD = b"trace"  # names a request in the platform's protocol; a repeat has the same value
FIELDS_ARGUMENT, REFUSED_EXCEPTION = 1, 1  # field numbers in the service's definition
KEY_BYTES = 16
MAX_HEAD_BYTES = 4096  # enough for the name of a method
MAX_SKIP_DEPTH = 64  # of values within each other, as in the library
STRICT_VERSION_BIT = 0x80  # in the first byte of a message of the strict binary protocol


class _SkipsBytes:
    """Lets a protocol skip strings of any bytes; the library's own way decodes them as UTF-8."""

    def skip(self, ttype: int, max_depth: int = MAX_SKIP_DEPTH) -> None:
        """Reads a value of a type of TType and drops it."""
        if ttype == TType.STRING:
            self.readBinary()  # type: ignore[attr-defined]
        else:
            super().skip(ttype, max_depth)  # type: ignore[misc]


class _BinaryProtocol(_SkipsBytes, TBinaryProtocol):  # type: ignore[misc]
    """The binary protocol, strict or not."""


class _CompactProtocol(_SkipsBytes, TCompactProtocol):  # type: ignore[misc]
    """The compact protocol."""


class UnreadableMessageError(Exception):
    """Bytes are no message of a protocol that can be read."""


@dataclass(frozen=True, slots=True)
class CallIdentity:
    """What makes two calls the same."""

    key: bytes
    has_id: bool  # the key stands for the request's id and not for the bytes of the message


def identify(call: bytes) -> CallIdentity:
    """Returns the identity of a call: its request's id, or its bytes if none can be read.

    A library may give a repeated call another sequence number. Without an id such a call looks like a new
    one, and two calls with the same bytes look like one.
    """
    request_id = _request_id(without_frame(call))
    if request_id is None:
        return CallIdentity(_key(b"message", call), has_id=False)
    return CallIdentity(_key(b"id", request_id), has_id=True)


def _key(kind: bytes, value: bytes) -> bytes:
    return hashlib.blake2b(value, digest_size=KEY_BYTES, person=kind).digest()


def is_framed(call: bytes) -> bool:
    """Returns whether a call begins with its own length, as a framed transport writes it."""
    return int.from_bytes(call[:FRAME_LENGTH_BYTES], "big") == len(call) - FRAME_LENGTH_BYTES


def without_frame(call: bytes) -> bytes:
    """Returns the message of a call, without the length that a framed transport writes before it."""
    return call[FRAME_LENGTH_BYTES:] if is_framed(call) else call


def protocol_over(transport: TTransportBase, first_byte: bytes) -> TProtocolBase:
    """Returns the protocol, compact or binary, of a message that begins with `first_byte`."""
    if first_byte == bytes([COMPACT_PROTOCOL_ID]):
        return _CompactProtocol(transport)
    is_strict = bool(first_byte) and first_byte[0] & STRICT_VERSION_BIT != 0
    return _BinaryProtocol(transport, strictWrite=is_strict)


def _request_id(message: bytes) -> bytes | None:
    """Returns the id in the fields of a request; None if the message is no such request."""
    try:
        protocol = protocol_over(TMemoryBuffer(message), message[:1])
        protocol.readMessageBegin()
        protocol.readStructBegin()
        while True:
            _, field_type, number = protocol.readFieldBegin()
            if field_type == TType.STOP:
                return None
            if number == FIELDS_ARGUMENT and field_type == TType.MAP:
                return _read_fields(protocol).get(ID_FIELD)
            protocol.skip(field_type)
    except Exception:  # the library raises errors of many types for bytes that are no message of a protocol
        return None


def _read_fields(protocol: TProtocolBase) -> dict[bytes, bytes]:
    key_type, value_type, size = protocol.readMapBegin()
    if size and (key_type, value_type) != (TType.STRING, TType.STRING):
        return {}
    return {protocol.readBinary(): protocol.readBinary() for _ in range(size)}


@dataclass(frozen=True, slots=True)
class MessageHead:
    """The beginning of a message, up to its fields."""

    name: str
    message_type: int  # a value of TMessageType
    number: int  # the sequence number
    size: int  # of the head in bytes


def read_head(message: bytes) -> MessageHead | None:
    """Returns the head of a message without frame; None if it is of no protocol that can be read.

    These are the binary protocol, strict or not, and the compact protocol.
    """
    buffer = TMemoryBuffer(message[:MAX_HEAD_BYTES])
    try:
        name, message_type, number = protocol_over(buffer, message[:1]).readMessageBegin()
    except Exception:  # as in `_request_id`
        return None
    return MessageHead(name, message_type, number, buffer.cstringio_buf.tell())


def skip_message(transport: TTransportBase, first_byte: bytes) -> None:
    """Reads a message without frame, of which `first_byte` is not consumed yet, from a transport to its end.

    Raises UnreadableMessageError, and OSError and TTransportException of the transport.
    """
    try:
        protocol = protocol_over(transport, first_byte)
        protocol.readMessageBegin()
        protocol.skip(TType.STRUCT)
        protocol.readMessageEnd()
    except (OSError, TTransportException):
        raise
    except Exception as error:  # as in `_request_id`
        raise UnreadableMessageError(str(error)) from error


def message_size(data: bytes) -> int:
    """Returns the size of the message at the start of some bytes; raises UnreadableMessageError."""
    buffer = TMemoryBuffer(data)
    skip_message(buffer, data[:1])
    return int(buffer.cstringio_buf.tell())


def with_number(message: bytes, head: MessageHead, number: int, size: int, framed: bool) -> bytes:
    """Returns the first `size` bytes of a message under another sequence number, with its length if framed.

    `head` is the message's head.
    """
    buffer = TMemoryBuffer()
    protocol_over(buffer, message[:1]).writeMessageBegin(head.name, head.message_type, number)
    new_head, rest = buffer.getvalue(), memoryview(message)[head.size : size]
    length = (len(new_head) + len(rest)).to_bytes(FRAME_LENGTH_BYTES, "big") if framed else b""
    return b"".join((length, new_head, rest))


def frame(message: bytes) -> bytes:
    """Returns a message with its length before it, as a framed transport writes it."""
    return len(message).to_bytes(FRAME_LENGTH_BYTES, "big") + message


def is_refusal(reply: bytes) -> bool:
    """Returns whether a whole reply without frame says that nothing has run."""
    try:
        protocol = protocol_over(TMemoryBuffer(reply), reply[:1])
        _, message_type, _ = protocol.readMessageBegin()
        protocol.readStructBegin()
        _, field_type, number = protocol.readFieldBegin()
    except Exception:  # as in `_request_id`
        return False
    return (message_type, field_type, number) == (TMessageType.REPLY, TType.STRUCT, REFUSED_EXCEPTION)
