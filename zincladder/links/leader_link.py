"""The link of a process to the leader of a group: finds the leader, and reconnects. Uses anyio."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping
from typing import Any, Protocol

import anyio
import structlog

from zincladder.config import parse_address
from zincladder.links.connection import LINK_ERRORS, Link, ReconnectBackoff, SendQueue
from zincladder.links.dialer import Dialer
from zincladder.links.errors import HandshakeRejectedError
from zincladder.links.frames import Hello
from zincladder.support.rate_limited_log import RateLimitedLog

MAX_QUEUED_MESSAGES = 64
FLUSH_POLL_SECONDS = 0.005
MAX_FIRST_MESSAGE_SECONDS = 15.0  # longest wait for the first message of a link
MAX_DOUBLINGS = 8  # of the wait for it
log = structlog.get_logger()


class LeaderLinkHandler(Protocol):
    """Handles the events of a link."""

    def link_changed(self, up: bool) -> None:
        """Called when the link is established, and when it is lost; messages in transit are then lost too."""

    def message_received(self, message: Any) -> str | None:
        """Handles a message of the replica.

        Returns None to keep the link. Any string ends it: the name of the leader, or "" if it is unknown.
        """

    def silence_timeout_seconds(self) -> float:
        """Seconds without a message after which another replica is tried."""


class LeaderLink:
    """Keeps one link at a time, and looks for the replica that leads."""

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
        self._logged_rejection = ""
        self._silent_links: dict[str, int] = {}  # by replica, its links in a row without a message
        self._rate_limited_log = RateLimitedLog()
        self.send_queue = SendQueue(MAX_QUEUED_MESSAGES)

    async def flush(self, timeout_seconds: float) -> None:
        """Waits until the sending task has taken all queued messages, for at most `timeout_seconds`."""
        with anyio.move_on_after(timeout_seconds):
            while not self.send_queue.is_empty:
                await anyio.sleep(FLUSH_POLL_SECONDS)

    async def run(self) -> None:
        """Connects and reconnects until it is cancelled."""
        async with Dialer(self._hello) as dialer:
            await self._follow_leader(dialer)

    async def _follow_leader(self, dialer: Dialer) -> None:
        backoff = ReconnectBackoff(self._random.random)
        names = list(self._addresses)
        self._random.shuffle(names)
        redirected = False
        while True:
            name = names[0]
            names.append(names.pop(0))  # the next replica is tried if this one does not lead
            leader = await self._try_replica(name, dialer, backoff)
            if leader in names:
                names.remove(leader)
                names.insert(0, leader)
            # A redirect is followed at once, but not twice in a row: for a while, two replicas may each name
            # the other as the leader.
            redirected = leader not in ("", name) and not redirected
            if not redirected:
                await anyio.sleep(backoff.next_seconds())

    async def _try_replica(self, name: str, dialer: Dialer, backoff: ReconnectBackoff) -> str:
        """Connects to a replica, or to one that was slow to answer before, and serves the link until it ends.

        Returns the name of the leader if the replica replies that it does not lead; "" if it gives none.
        """
        leader = ""
        try:
            name, link, _ = await dialer.connect(name, parse_address(self._addresses[name]))
            try:
                leader = await self._run_link(name, link, backoff)
            finally:
                await link.close()
        except* HandshakeRejectedError as errors:
            self._log_rejection(f"{name}: {errors.exceptions[0]}")
        except* LINK_ERRORS:
            pass
        except* Exception:  # an error over one message of a replica must not end the process
            self._rate_limited_log.exception("link to a replica failed", replica=name, role=self._hello.role)
        return leader

    def _first_message_patience(self, name: str) -> float:
        """Returns the seconds to wait for the first message of a link: twice as many after each in vain.

        A replica that answers more slowly than the silence timeout would otherwise never be heard.
        """
        silent_links = self._silent_links.get(name, 0)
        self._silent_links[name] = silent_links + 1  # until a message arrives
        silence_timeout = self._handler.silence_timeout_seconds()
        longest = max(silence_timeout, MAX_FIRST_MESSAGE_SECONDS)
        return min(longest, math.ldexp(silence_timeout, min(silent_links, MAX_DOUBLINGS)))

    def _log_rejection(self, reason: str) -> None:
        if reason != self._logged_rejection:  # logs a repeated reason only once
            self._logged_rejection = reason
            if reason:
                log.error("connection rejected by a replica", reason=reason, role=self._hello.role)

    async def _run_link(self, name: str, link: Link, backoff: ReconnectBackoff) -> str:
        self.send_queue.clear()
        self._handler.link_changed(True)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.send_queue.send_to, link)
                leader = None
                patience_seconds = self._first_message_patience(name)
                while leader is None:
                    # The timeout is needed because the connection stays open if the leader is paused or the
                    # network drops all packets.
                    with anyio.fail_after(patience_seconds):
                        message = await link.receive(self._messages)
                    self._silent_links.pop(name, None)
                    patience_seconds = self._handler.silence_timeout_seconds()
                    leader = self._handler.message_received(message)
                    if leader is None:
                        backoff.reset()
                        self._log_rejection("")
                tasks.cancel_scope.cancel()
        finally:
            self._handler.link_changed(False)
        return leader or ""
