"""A process's link to the leader of a group: found, kept, and sought anew. On anyio."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any, Protocol

import anyio
import structlog

from zincladder.config import parse_address
from zincladder.links.connection import LINK_ERRORS, Link, ReconnectBackoff, SendQueue, connect
from zincladder.links.errors import HandshakeRejectedError
from zincladder.links.frames import Hello

MAX_QUEUED_MESSAGES = 64
FLUSH_POLL_SECONDS = 0.005
log = structlog.get_logger()


class LeaderLinkHandler(Protocol):
    """Who talks over the link."""

    def link_changed(self, up: bool) -> None:
        """The link is up, or down and all that was sent on it is lost."""

    def message_received(self, message: Any) -> str | None:
        """A message of the replica. None: the link goes on. Else it ends: the leader's name, if known."""

    def silence_timeout_seconds(self) -> float:
        """Seconds without a message after which another replica is tried."""


class LeaderLink:
    """One link at a time, to the replica that leads if there is one."""

    def __init__(
        self,
        addresses: Mapping[str, str],
        hello: Hello,
        messages: Any,
        handler: LeaderLinkHandler,
        generator: random.Random,
    ) -> None:
        self._addresses, self._hello, self._messages = addresses, hello, messages
        self._handler, self._random = handler, generator
        self._logged_reason = ""
        self.send_queue = SendQueue(MAX_QUEUED_MESSAGES)

    async def flush(self, timeout_seconds: float) -> None:
        """Waits until all queued messages are on their way, for so many seconds at most."""
        with anyio.move_on_after(timeout_seconds):
            while not self.send_queue.is_empty:
                await anyio.sleep(FLUSH_POLL_SECONDS)

    async def run(self) -> None:
        """Until it is cancelled."""
        backoff = ReconnectBackoff(self._random.random)
        names = list(self._addresses)
        self._random.shuffle(names)
        redirected = False
        while True:
            name = names[0]
            names.append(names.pop(0))  # the next one, if this one does not lead
            leader = await self._try(name, backoff)
            if leader in names:
                names.remove(leader)
                names.insert(0, leader)
            # A redirect is followed at once, but not twice running: two replicas may name each other a while.
            redirected = leader not in ("", name) and not redirected
            if not redirected:
                await anyio.sleep(backoff.next_seconds())

    async def _try(self, name: str, backoff: ReconnectBackoff) -> str:
        """One link to a replica, until it ends; the leader's name if that is another one."""
        leader = ""
        try:
            link, _ = await connect(parse_address(self._addresses[name]), self._hello)
            try:
                leader = await self._exchange(link, backoff)
            finally:
                await link.close()
        except* HandshakeRejectedError as errors:
            self._log_rejection(f"{name}: {errors.exceptions[0]}")
        except* LINK_ERRORS:
            pass
        return leader

    def _log_rejection(self, reason: str) -> None:
        if reason != self._logged_reason:  # once for each reason, however often it is tried
            self._logged_reason = reason
            if reason:
                log.error("rejected by a replica", reason=reason, role=self._hello.role)

    async def _exchange(self, link: Link, backoff: ReconnectBackoff) -> str:
        self.send_queue.clear()
        self._handler.link_changed(True)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send_queue.send_to, link)
                leader = None
                while leader is None:
                    # Guards against a paused leader and a network that loses all: the link stays up.
                    with anyio.fail_after(self._handler.silence_timeout_seconds()):
                        message = await link.receive(self._messages)
                    leader = self._handler.message_received(message)
                    if leader is None:
                        backoff.reset()
                        self._log_rejection("")
                tasks.cancel_scope.cancel()
        finally:
            self._handler.link_changed(False)
        return leader or ""
