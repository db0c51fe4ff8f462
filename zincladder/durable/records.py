"""The on-disk format of records, of segments of records, and of a spool's cursor. No I/O.

    segment = magic:8 first:8 record*               first: number of the segment's first record
    record  = length:4 crc:4 number:8 stamp:8 payload       crc: CRC-32C (RFC 3720, B.4) of what follows it
    cursor  = two slots of generation:8 acknowledged:8 crc:4, written alternately

All integers are unsigned and little-endian; sizes are in bytes. Record numbers increase by one. The magic
distinguishes the segments of a spool, where a stamp is a time in Unix milliseconds, from those of a journal,
where it holds the batch number and the kind. Readers stop at the first incomplete record: after a crash,
that is the one that was being written.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from crc32c import crc32c

SPOOL_MAGIC = b"ZCSPOOL1"  # magic of a spool's segments
JOURNAL_MAGIC = b"ZCJOURN1"
SEGMENT_HEADER = struct.Struct("<8sQ")
RECORD_HEADER = struct.Struct("<IIQQ")
CURSOR_SLOT = struct.Struct("<QQI")
CHECKSUM_BYTES = 4
CHECKSUM_START = 8  # offset in a record at which the part covered by its checksum begins
MAX_PAYLOAD_BYTES = 16 << 20


@dataclass(frozen=True, slots=True)
class Record:
    """One record, and its offset in the segment."""

    number: int
    stamp: int
    offset: int
    size: int  # in bytes, including the header
    payload: bytes


def segment_header(magic: bytes, first: int) -> bytes:
    """The header of a segment whose first record has the number `first`."""
    return SEGMENT_HEADER.pack(magic, first)


def pack(number: int, stamp: int, payload: bytes) -> bytes:
    """Encodes one record. Raises ValueError if the payload exceeds MAX_PAYLOAD_BYTES."""
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(f"record payload of {len(payload)} bytes exceeds {MAX_PAYLOAD_BYTES} bytes")
    checksummed = RECORD_HEADER.pack(0, 0, number, stamp)[CHECKSUM_START:] + payload
    return struct.pack("<II", len(payload), crc32c(checksummed)) + checksummed


def first_record_number(data: bytes, magic: bytes) -> int | None:
    """The number of a segment's first record; None if `data` is not a segment with this magic."""
    if len(data) < SEGMENT_HEADER.size:
        return None
    found_magic, first = SEGMENT_HEADER.unpack_from(data)
    return int(first) if found_magic == magic else None


def record_at(data: bytes, offset: int) -> Record | None:
    """The record that begins at `offset`; None if there is no complete and valid record."""
    if offset + RECORD_HEADER.size > len(data):
        return None
    length, crc, number, stamp = RECORD_HEADER.unpack_from(data, offset)
    end = offset + RECORD_HEADER.size + length
    if length > MAX_PAYLOAD_BYTES or end > len(data) or crc32c(data[offset + CHECKSUM_START : end]) != crc:
        return None
    return Record(number, stamp, offset, end - offset, data[offset + RECORD_HEADER.size : end])


def scan_records(data: bytes, magic: bytes) -> Iterator[Record]:
    """Yields the records of a segment, up to the first one that is incomplete, corrupt or out of order."""
    number, offset = first_record_number(data, magic), SEGMENT_HEADER.size
    while number is not None:
        record = record_at(data, offset)
        if record is None or record.number != number:
            return
        yield record
        number, offset = number + 1, offset + record.size


def pack_cursor(generation: int, acknowledged: int) -> bytes:
    """Encodes one slot. The receiver has acknowledged all records up to number `acknowledged`."""
    body = struct.pack("<QQ", generation, acknowledged)
    return body + struct.pack("<I", crc32c(body))


def read_cursor(data: bytes) -> tuple[int, int] | None:
    """The generation and acknowledged number of the latest valid slot; None if no slot is valid."""
    latest = None
    for offset in range(0, len(data) - CURSOR_SLOT.size + 1, CURSOR_SLOT.size):
        generation, acknowledged, crc = CURSOR_SLOT.unpack_from(data, offset)
        valid = crc32c(data[offset : offset + CURSOR_SLOT.size - CHECKSUM_BYTES]) == crc
        if valid and (latest is None or generation > latest[0]):
            latest = generation, acknowledged
    return latest
