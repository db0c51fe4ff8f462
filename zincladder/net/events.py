"""What the coordinator tells: frames on its connection, and the events of the start in the configuration."""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

from zincladder.config import Address, Config, ConfigError, Node, parse_address
from zincladder.core.attempt_end import EndReason
from zincladder.net.protocol import STATE_NAMES, STATES
from zincladder.net.stream import Ended
from zincladder.routing import interface as api

HEAD = struct.Struct(">IQB")  # length, number, kind
LENGTH_SIZE = 4  # bytes of the length, which does not count itself
MOST_FRAME = 1 << 22
RECORD = struct.Struct(">I4sHBBBHIQ")  # one member of a list
OBJECT_PURGE = struct.Struct(">QQ")  # object, Unix milliseconds
GROUP_PURGE = struct.Struct(">HQ")  # group, Unix milliseconds
NOTHING, WHOLE, CHANGES, OBJECT, OF_GROUP = range(5)


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame as it came in: the number of the newest event, the kind and what it holds."""

    number: int
    kind: int
    payload: bytes


class FrameReader:
    """Parses what the coordinator sends: bytes in, events out. No I/O."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def partial(self) -> bool:
        """Whether a frame has begun and is not whole."""
        return bool(self._buffer)

    def take(self, data: bytes | bytearray) -> Iterator[Frame]:
        """The frames that these bytes complete. `Ended` at one that cannot be read."""
        self._buffer += data
        start = 0
        try:
            while len(self._buffer) - start >= HEAD.size:
                length, number, kind = HEAD.unpack_from(self._buffer, start)
                if not HEAD.size - LENGTH_SIZE <= length <= MOST_FRAME:
                    raise Ended(EndReason.PROTOCOL_ERROR, f"a frame of {length} bytes")
                end = start + LENGTH_SIZE + length
                if end > len(self._buffer):
                    break
                payload = bytes(self._buffer[start + HEAD.size : end])
                start = end
                yield Frame(number, kind, payload)
        finally:
            del self._buffer[:start]


@dataclass(frozen=True, slots=True)
class Listed:
    """The list, or changes to it, with the members' addresses."""

    whole: bool
    version: int
    endpoints: tuple[tuple[api.Endpoint, Address], ...]


@dataclass(frozen=True, slots=True)
class Purge:
    """A purge of an object, or with none of a whole group, at a Unix time."""

    object: int | None
    group: int
    made: float


News = Listed | Purge


def read_frame(kind: int, number: int, payload: bytes | bytearray) -> News | None:
    """What one frame tells; None for nothing new."""
    try:
        if kind in (WHOLE, CHANGES):
            if len(payload) % RECORD.size:
                raise Ended(EndReason.PROTOCOL_ERROR, f"a list of {len(payload)} bytes")
            return Listed(kind == WHOLE, number, tuple(map(_member, RECORD.iter_unpack(payload))))
        if kind == OBJECT:
            obj, made = OBJECT_PURGE.unpack(payload)
            return Purge(obj, 0, made / 1000)
        if kind == OF_GROUP:
            group, made = GROUP_PURGE.unpack(payload)
            return Purge(None, group, made / 1000)
    except (struct.error, IndexError) as fault:
        raise Ended(EndReason.PROTOCOL_ERROR, f"a frame of kind {kind}: {fault}") from None
    return None  # kind 0, or one of a newer coordinator


def _member(record: tuple[Any, ...]) -> tuple[api.Endpoint, Address]:
    number, host, port, state, zone, kind, cell, weight, started = record
    endpoint = api.Endpoint(
        f"s-{number:08x}".encode(), kind, zone, STATES[state], weight / 1000, cell, started / 1000
    )
    return endpoint, (str(ipaddress.IPv4Address(host)), port)


def known_news(config: Config) -> tuple[int, list[News]]:
    """The events of the start, from the configuration; the number of the last one."""
    top = Node(config.known_events, "known")
    last = top.integer("index", 0)
    found: list[News] = []
    zones = {name: i for i, name in enumerate(config.names.zones)}
    kinds = {name: i for i, name in enumerate(config.names.kinds)}
    for i, raw in enumerate(top.data.get("updates", [])):
        update = Node(raw, f"known.updates[{i}]")
        if "evict" in update.data:
            evict = update.child("evict")
            obj = evict.read("ref", lambda v: int(v, 16), "hex digits", None) if "ref" in evict.data else None
            found.append(Purge(obj, evict.integer("shard", 0), evict.number("unix_ms") / 1000))
        elif "endpoints" in update.data:
            lists = update.child("endpoints")
            endpoints = []
            for j, line in enumerate(lists.data.get("endpoints", [])):
                n = Node(line, f"{lists.path_of('endpoints')}[{j}]")
                endpoint = api.Endpoint(
                    n.text("name").encode(),
                    n.choice("type", kinds),
                    n.choice("zone", zones),
                    n.choice("status", STATE_NAMES),
                    n.number("weight", 1.0),
                    n.integer("group", 0),
                    n.number("since_ms", 0.0) / 1000,
                )
                endpoints.append((endpoint, n.read("address", parse_address, "an address", None)))
            found.append(Listed(lists.flag("snapshot"), update.integer("index", 0), tuple(endpoints)))
        else:
            raise ConfigError(f"'{update.path}' holds neither 'endpoints' nor 'evict'")
    return last, found
