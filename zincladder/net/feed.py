"""The coordinator: the list of members and the purges, as numbered events."""

from __future__ import annotations

import ipaddress
import struct
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from time import monotonic
from typing import Any

import anyio
import structlog

from zincladder import interface as api
from zincladder.config import Address, Config, ConfigError, Node, address
from zincladder.core.ends import How
from zincladder.net.protocol import STATE_NAMES, STATES
from zincladder.net.stream import Ended, Inbox, Outbox, connect
from zincladder.sparing import Sparing

HEAD = struct.Struct(">IQB")
RECORD = struct.Struct(">I4sHBBBHIQ")
TWO = struct.Struct(">QQ")
GROUP = struct.Struct(">HQ")
NOTHING, WHOLE, CHANGES, OBJECT, OF_GROUP = range(5)
MOST_FRAME = 1 << 22
SILENCE = 1.6  # an empty frame follows each second
CONNECT_LIMIT = 0.5
RETRY = (0.05, 0.4)  # seconds between tries, doubled from the first to the second
SPREAD = (0.5, 1.5)  # of these: a coordinator that comes back is not asked by all fronts at one moment
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Listed:
    """The list, or changes to it, with the members' addresses."""

    whole: bool
    version: int
    members: tuple[tuple[api.Member, Address], ...]


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
                raise Ended(How.GARBLED, f"a list of {len(payload)} bytes")
            return Listed(kind == WHOLE, number, tuple(map(_member, RECORD.iter_unpack(payload))))
        if kind == OBJECT:
            obj, made = TWO.unpack(payload)
            return Purge(obj, 0, made / 1000)
        if kind == OF_GROUP:
            group, made = GROUP.unpack(payload)
            return Purge(None, group, made / 1000)
    except (struct.error, IndexError) as fault:
        raise Ended(How.GARBLED, f"a frame of kind {kind}: {fault}") from None
    return None  # kind 0, or one of a newer coordinator


def _member(record: tuple[Any, ...]) -> tuple[api.Member, Address]:
    number, host, port, state, zone, kind, cell, weight, started = record
    member = api.Member(
        f"s-{number:08x}".encode(), kind, zone, STATES[state], weight / 1000, cell, started / 1000
    )
    return member, (str(ipaddress.IPv4Address(host)), port)


def known_news(config: Config) -> tuple[int, list[News]]:
    """The events of the start, from the configuration; the number of the last one."""
    top = Node(config.known, "known")
    last = top.whole("index", 0)
    found: list[News] = []
    zones = {name: i for i, name in enumerate(config.names.zones)}
    kinds = {name: i for i, name in enumerate(config.names.kinds)}
    for i, raw in enumerate(top.data.get("updates", [])):
        update = Node(raw, f"known.updates[{i}]")
        if "evict" in update.data:
            evict = update.sub("evict")
            obj = evict.get("ref", lambda v: int(v, 16), "hex digits", None) if "ref" in evict.data else None
            found.append(Purge(obj, evict.whole("shard", 0), evict.num("unix_ms") / 1000))
        elif "endpoints" in update.data:
            lists = update.sub("endpoints")
            members = []
            for j, line in enumerate(lists.data.get("endpoints", [])):
                n = Node(line, f"{lists.at('endpoints')}[{j}]")
                member = api.Member(
                    n.text("name").encode(),
                    n.choice("type", kinds),
                    n.choice("zone", zones),
                    n.choice("status", STATE_NAMES),
                    n.num("weight", 1.0),
                    n.whole("group", 0),
                    n.num("since_ms", 0.0) / 1000,
                )
                members.append((member, n.get("address", address, "an address", None)))
            found.append(Listed(lists.flag("snapshot"), update.whole("index", 0), tuple(members)))
        else:
            raise ConfigError(f"'{update.path}' holds neither 'endpoints' nor 'evict'")
    return last, found


class Feed:
    """Follows the coordinator from the last known event on, for as long as the front runs."""

    def __init__(self, coordinator: Address, last: int, tell: Callable[[News], None], seed: int) -> None:
        self._random = Random(seed)
        self._coordinator, self.last, self._tell = coordinator, last, tell
        self.connected = self.heard = False  # followed now; and at least once
        self._turn = anyio.CancelScope()
        self._pause = RETRY[0]
        self._warn = Sparing()

    def follow(self, coordinator: Address) -> None:
        """Goes on at another address, from the last event: the old one tells nothing more."""
        if coordinator != self._coordinator:
            self._coordinator, self._pause = coordinator, RETRY[0]
            self._turn.cancel()

    async def run(self) -> None:
        while True:
            with anyio.CancelScope() as self._turn:
                try:
                    await self._follow()
                except (Ended, OSError, TimeoutError) as fault:
                    if self.connected:
                        self._pause = RETRY[0]
                    why = str(fault) or type(fault).__name__
                    self._warn.warning("coordinator lost", why=why, last=self.last)
                except (
                    Exception
                ):  # guards drains and purges: whatever goes wrong, the coordinator is followed again
                    log.exception("coordinator lost", last=self.last)
                finally:
                    self.connected = False
                await anyio.sleep(self._pause * self._random.uniform(*SPREAD))
                self._pause = min(2 * self._pause, RETRY[1])

    async def _follow(self) -> None:
        with anyio.fail_after(CONNECT_LIMIT):
            sock = await connect(*self._coordinator)
        try:
            inbox, outbox = Inbox(sock), Outbox(sock)
            outbox.put([self.last.to_bytes(8, "big")])
            asked_at, after, first = monotonic(), self.last, True
            while True:
                with anyio.fail_after(SILENCE):  # guards against a coordinator that is cut off
                    length, number, kind = HEAD.unpack(await inbox.exactly(HEAD.size))
                    if not HEAD.size - 4 <= length <= MOST_FRAME:
                        raise Ended(How.GARBLED, f"a frame of {length} bytes")
                    payload = await inbox.exactly(length - (HEAD.size - 4))
                self.connected = self.heard = True
                if first:
                    waited = round(monotonic() - asked_at, 3)
                    self._warn.info(
                        "coordinator followed", after=after, newest=number, kind=kind, waited_s=waited
                    )
                    first = False
                news = read_frame(kind, number, payload)
                if news is not None and number > self.last:
                    self._tell(news)
                    self.last = number
        finally:
            sock.close()
