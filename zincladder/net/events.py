"""Parses the coordinator's frames and decodes the events in them. No I/O."""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from zincladder.config import Address
from zincladder.core.attempt_end import EndReason
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.protocol import ENDPOINT_STATES
from zincladder.routing import interface as api

FRAME_HEAD = struct.Struct(">IQB")  # length of the rest of the frame, event number, kind
LENGTH_BYTES = 4  # size of the length field, which the length does not include
MAX_FRAME_BYTES = 1 << 19  # 19,000 endpoints in one list
ENDPOINT_RECORD = struct.Struct(">I4sHBBBHIQ")  # fields in the order of `_read_endpoint`
OBJECT_PURGE = struct.Struct(">QQ")  # object, Unix time in milliseconds
GROUP_PURGE = struct.Struct(">HQ")  # group, Unix time in milliseconds
KIND_NO_EVENT, KIND_FULL_LIST, KIND_LIST_CHANGES, KIND_OBJECT_PURGE, KIND_GROUP_PURGE = range(5)


@dataclass(frozen=True, slots=True)
class Frame:
    """A frame as it was received: the number of the newest event, the kind and the payload."""

    number: int
    kind: int
    payload: bytes


class FrameReader:
    """Splits the byte stream of the coordinator into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def partial(self) -> bool:
        """Whether an incomplete frame is buffered."""
        return bool(self._buffer)

    def feed(self, data: bytes | bytearray) -> Iterator[Frame]:
        """Adds received bytes and yields the frames that they complete.

        Raises:
            ConnectionEndedError: A frame's length is out of range.
        """
        self._buffer += data
        start = 0
        try:
            while len(self._buffer) - start >= FRAME_HEAD.size:
                length, number, kind = FRAME_HEAD.unpack_from(self._buffer, start)
                if not FRAME_HEAD.size - LENGTH_BYTES <= length <= MAX_FRAME_BYTES:
                    raise ConnectionEndedError(
                        EndReason.PROTOCOL_ERROR, f"frame length of {length} bytes is out of range"
                    )
                end = start + LENGTH_BYTES + length
                if end > len(self._buffer):
                    break
                payload = bytes(self._buffer[start + FRAME_HEAD.size : end])
                start = end
                yield Frame(number, kind, payload)
        finally:
            del self._buffer[:start]


@dataclass(frozen=True, slots=True)
class EndpointUpdateReceived:
    """The full endpoint list, or changes to it, with the endpoints' addresses."""

    is_full: bool
    version: int
    endpoints: tuple[tuple[api.Endpoint, Address], ...]


@dataclass(frozen=True, slots=True)
class PurgeReceived:
    """A purge of one object, or of a whole group if `object` is None; `purged_at` is a Unix time."""

    object: int | None
    group: int
    purged_at: float


WatchEvent = EndpointUpdateReceived | PurgeReceived


def read_event(frame: Frame) -> WatchEvent | None:
    """Decodes the event of a frame; returns None if the frame holds no event.

    Raises:
        ConnectionEndedError: The payload is malformed.
    """
    kind, payload = frame.kind, frame.payload
    try:
        if kind in (KIND_FULL_LIST, KIND_LIST_CHANGES):
            if len(payload) % ENDPOINT_RECORD.size:
                raise ConnectionEndedError(
                    EndReason.PROTOCOL_ERROR,
                    f"endpoint list of {len(payload)} bytes is not a whole number of records",
                )
            endpoints = tuple(map(_read_endpoint, ENDPOINT_RECORD.iter_unpack(payload)))
            return EndpointUpdateReceived(kind == KIND_FULL_LIST, frame.number, endpoints)
        if kind == KIND_OBJECT_PURGE:
            object_id, purged_at_ms = OBJECT_PURGE.unpack(payload)
            return PurgeReceived(object_id, 0, purged_at_ms / 1000)
        if kind == KIND_GROUP_PURGE:
            group, purged_at_ms = GROUP_PURGE.unpack(payload)
            return PurgeReceived(None, group, purged_at_ms / 1000)
    except (struct.error, IndexError) as fault:
        raise ConnectionEndedError(
            EndReason.PROTOCOL_ERROR, f"malformed payload in a frame of kind {kind}: {fault}"
        ) from None
    return None  # kind 0, or a kind that only a newer coordinator sends


def _read_endpoint(record: tuple[Any, ...]) -> tuple[api.Endpoint, Address]:
    number, host, port, state, zone, kind, cell, weight, started_at_ms = record
    endpoint = api.Endpoint(
        f"s-{number:08x}".encode(), kind, zone, ENDPOINT_STATES[state], weight / 1000, cell,
        started_at_ms / 1000,
    )  # fmt: skip
    return endpoint, (str(ipaddress.IPv4Address(host)), port)
