"""The form of what is kept on disk: records in segments, and a spool's cursor, as bytes. No I/O.

    segment = magic:8 first:8 record*               first: the number of its first record
    record  = length:4 crc:4 number:8 stamp:8 payload       crc: CRC-32C (RFC 3720, B.4) of all behind it
    cursor  = two slots of generation:8 done:8 crc:4, written in turn

All numbers are unsigned and little-endian. Numbers rise by one from record to record. The magic tells whose
segment it is, and what a stamp is with it: of a spool the time in Unix ms, of a journal the batch. What
follows the first record that is not whole is not read: after a crash that is what was being written.
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
CHECKED = 8  # the part of a record that its checksum does not cover
MOST_RECORD = 16 << 20


@dataclass(frozen=True, slots=True)
class Record:
    """One record and where it lies in its segment."""

    number: int
    stamp: int
    at: int
    size: int  # of the whole record
    payload: bytes


def segment_header(magic: bytes, first: int) -> bytes:
    return HEADER.pack(magic, first)


def pack(number: int, stamp: int, payload: bytes) -> bytes:
    """One record. ValueError if it is larger than any reader takes."""
    if len(payload) > MOST_RECORD:
        raise ValueError(f"a record of {len(payload)} bytes, {MOST_RECORD} at most")
    tail = HEAD.pack(0, 0, number, stamp)[CHECKED:] + payload
    return struct.pack("<II", len(payload), crc32c(tail)) + tail


def first_of(data: bytes, magic: bytes) -> int | None:
    """The number of a segment's first record; None if the file is no segment with this magic."""
    if len(data) < HEADER.size:
        return None
    found, first = HEADER.unpack_from(data)
    return int(first) if found == magic else None


def record_at(data: bytes, at: int) -> Record | None:
    """The record that begins at a byte, if a whole one does."""
    if at + HEAD.size > len(data):
        return None
    length, crc, number, stamp = HEAD.unpack_from(data, at)
    end = at + HEAD.size + length
    if length > MOST_RECORD or end > len(data) or crc32c(data[at + CHECKED : end]) != crc:
        return None
    return Record(number, stamp, at, end - at, data[at + HEAD.size : end])


def scan(data: bytes, magic: bytes) -> Iterator[Record]:
    """The whole records of a segment, up to the first that is torn, spoilt or out of order."""
    number, at = first_of(data, magic), HEADER.size
    while number is not None:
        record = record_at(data, at)
        if record is None or record.number != number:
            return
        yield record
        number, at = number + 1, at + record.size


def pack_cursor(generation: int, done: int) -> bytes:
    """One slot: all records up to `done` need not be sent again."""
    body = struct.pack("<QQ", generation, done)
    return body + struct.pack("<I", crc32c(body))


def read_cursor(data: bytes) -> tuple[int, int] | None:
    """The generation and position of the later whole slot; None if neither is whole."""
    found = None
    for at in range(0, len(data) - SLOT.size + 1, SLOT.size):
        generation, done, crc = SLOT.unpack_from(data, at)
        if crc32c(data[at : at + SLOT.size - 4]) == crc and (found is None or generation > found[0]):
            found = generation, done
    return found
