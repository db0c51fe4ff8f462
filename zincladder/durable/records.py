"""The format of records on disk, in segments, and of a spool's cursor. No I/O.

    segment = magic:8 first:8 record*               first: the number of its first record
    record  = length:4 crc:4 number:8 stamp:8 payload       crc: CRC-32C (RFC 3720, B.4) of all behind it
    cursor  = two slots of generation:8 done:8 crc:4, written in turn

All numbers are unsigned and little-endian. Numbers rise by one from record to record. The magic says whose
segment it is, and so what a stamp is: in a spool the time in Unix ms, in a journal the batch. Nothing after
the first incomplete record is read: after a crash that is what was being written.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from crc32c import crc32c

SPOOL = b"ZCSPOOL1"  # magics
JOURNAL = b"ZCJOURN1"
HEADER = struct.Struct("<8sQ")
HEAD = struct.Struct("<IIQQ")
SLOT = struct.Struct("<QQI")
CHECKSUM_BYTES = 4
CHECKSUM_START = 8  # bytes of a record before the part that its checksum covers
MAX_PAYLOAD_BYTES = 16 << 20


@dataclass(frozen=True, slots=True)
class Record:
    """One record, and where it begins in its segment."""

    number: int
    stamp: int
    offset: int
    size: int  # in bytes, with its header
    payload: bytes


def segment_header(magic: bytes, first: int) -> bytes:
    """The header of a segment whose first record has the number `first`."""
    return HEADER.pack(magic, first)


def pack(number: int, stamp: int, payload: bytes) -> bytes:
    """One record. ValueError if it is larger than any reader takes."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"a record of {len(payload)} bytes, {MAX_PAYLOAD_BYTES} at most")
    tail = HEAD.pack(0, 0, number, stamp)[CHECKSUM_START:] + payload
    return struct.pack("<II", len(payload), crc32c(tail)) + tail


def first_of(data: bytes, magic: bytes) -> int | None:
    """The number of a segment's first record; None if the file is no segment with this magic."""
    if len(data) < HEADER.size:
        return None
    found_magic, first = HEADER.unpack_from(data)
    return int(first) if found_magic == magic else None


def record_at(data: bytes, offset: int) -> Record | None:
    """The record that begins at an offset; None if no complete one does."""
    if offset + HEAD.size > len(data):
        return None
    length, crc, number, stamp = HEAD.unpack_from(data, offset)
    end = offset + HEAD.size + length
    if length > MAX_PAYLOAD_BYTES or end > len(data) or crc32c(data[offset + CHECKSUM_START : end]) != crc:
        return None
    return Record(number, stamp, offset, end - offset, data[offset + HEAD.size : end])


def scan(data: bytes, magic: bytes) -> Iterator[Record]:
    """The records of a segment, up to the first that is torn, corrupt or out of order."""
    number, offset = first_of(data, magic), HEADER.size
    while number is not None:
        record = record_at(data, offset)
        if record is None or record.number != number:
            return
        yield record
        number, offset = number + 1, offset + record.size


def pack_cursor(generation: int, done: int) -> bytes:
    """One slot: all records up to `done` need not be sent again."""
    body = struct.pack("<QQ", generation, done)
    return body + struct.pack("<I", crc32c(body))


def read_cursor(data: bytes) -> tuple[int, int] | None:
    """The generation and position of the later valid slot; None if neither is valid."""
    latest = None
    for offset in range(0, len(data) - SLOT.size + 1, SLOT.size):
        generation, done, crc = SLOT.unpack_from(data, offset)
        valid = crc32c(data[offset : offset + SLOT.size - CHECKSUM_BYTES]) == crc
        if valid and (latest is None or generation > latest[0]):
            latest = generation, done
    return latest
