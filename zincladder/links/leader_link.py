"""A process's link to whoever leads a group: found, kept, and sought anew. On anyio."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any, Protocol

import anyio
import structlog

from zincladder.config import parse_address
from zincladder.links.connection import LINK_ERRORS, Link, ReconnectBackoff, SendQueue, connect
from zincladder.links.frames import HandshakeRejectedError, Hello

MAX_QUEUED_MESSAGES = 64
log = structlog.get_logger()


class LeaderLinkHandler(Protocol):
    """Who talks over the link."""

    def link(self, up: bool) -> None:
        """The link is there, or gone with all that was said on it."""

    def heard(self, message: Any) -> str | None:
        """What the keeper said. None: the link goes on. Else it ends: who leads, if the keeper knows."""

    def silence(self) -> float:
        """Seconds without a word after which another keeper is tried."""


class LeaderLink:
    """One link at a time, to the keeper that leads if there is one."""

    def __init__(
        self,
        places: Mapping[str, str],
        hello: Hello,
        messages: Any,
        follower: LeaderLinkHandler,
        draw: random.Random,
    ) -> None:
        self._places, self._hello, self._messages, self._follower = places, hello, messages, follower
        self._draw, self._said = draw, ""
        self.outbox = SendQueue(MAX_QUEUED_MESSAGES)

    async def flush(self, patience: float) -> None:
        """Waits until all that was put is on its way, for so many seconds at most."""
        with anyio.move_on_after(patience):
            while self.outbox.waiting:
                await anyio.sleep(0.005)

    async def run(self) -> None:
        """Until it is cancelled."""
        patience = ReconnectBackoff(self._draw.random)
        names = list(self._places)
        self._draw.shuffle(names)
        sent_on = False
        while True:
            name = names[0]
            names.append(names.pop(0))  # the next one, if this one does not lead
            leader = ""
            try:
                link, _ = await connect(parse_address(self._places[name]), self._hello)
                try:
                    leader = await self._linked(link, patience)
                finally:
                    await link.close()
            except* HandshakeRejectedError as faults:
                self._say(f"{name}: {faults.exceptions[0]}")
            except* LINK_ERRORS:
                pass
            if leader in names:
                names.remove(leader)
                names.insert(0, leader)
            # At once to whom one that does not lead has named, but once: two may name each other a while.
            sent_on = leader not in ("", name) and not sent_on
            if not sent_on:
                await anyio.sleep(patience.wait())

    def _say(self, why: str) -> None:
        if why != self._said:  # once for each reason, however often it is tried
            self._said = why
            if why:
                log.error("refused by a keeper", why=why, role=self._hello.role)

    async def _linked(self, link: Link, patience: ReconnectBackoff) -> str:
        """Talks over one link until it fails; the leader's name if that is another one."""
        self.outbox.clear()
        self._follower.link(True)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.outbox.send_to, link)
                leader = None
                while leader is None:
                    # Guards against a leader that was stopped, and a network that loses all: the link stands.
                    with anyio.fail_after(self._follower.silence()):
                        message = await link.receive(self._messages)
                    leader = self._follower.heard(message)
                    if leader is None:
                        patience.met()
                        self._say("")
                tasks.cancel_scope.cancel()
        finally:
            self._follower.link(False)
        return leader or ""
