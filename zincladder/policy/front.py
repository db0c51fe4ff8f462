"""A front's side of a fleet's policy: its link to the leading keeper, and what it does with what it is told.

On anyio. Loaded only where the operator's file has [policy].
"""

from __future__ import annotations

import os
import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import structlog

from zincladder.config import PolicyConfig
from zincladder.links.clocks import boottime
from zincladder.links.frames import VERSION, Hello
from zincladder.links.leader_link import LeaderLink
from zincladder.policy.holder import Holder
from zincladder.policy.model import Elsewhere, FromKeeper

SILENT = 2.5  # askings without a word after which another keeper is tried
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Parts:
    """What a front does with a policy: `check` tells why it can't take one, `apply` takes it."""

    check: Callable[[bytes], tuple[str, ...]]
    apply: Callable[[bytes], str]


class FleetPolicy:
    """One process of a front."""

    def __init__(
        self, config: PolicyConfig, name: str, parts: Parts, clock: Callable[[], float] = boottime
    ) -> None:
        self._parts, self._clock = parts, clock
        self.holder = Holder(clock(), config.go_on)
        hello = Hello(VERSION, config.group, "front", name, os.urandom(8).hex())
        self._leader = LeaderLink(config.keepers, hello, FromKeeper, self, random.Random(hello.birth))
        self._due = anyio.Event()
        self.refused = 0

    # Asked by the front ---------------------------------------------------------------------------

    def hold_off(self) -> float:
        """0 while this front may serve; else the seconds after which a client may come back."""
        now = self._clock()
        if self.holder.serving(now):
            return 0.0
        self.refused += 1
        return self.holder.back_in(now)

    def lacks(self) -> str:
        """What keeps this front from serving; nothing if it may."""
        holder = self.holder
        if holder.serving(self._clock()):
            return ""
        for why in holder.failed.values():
            return f"the fleet's policy can't be taken: {why}"
        if not holder.version:
            return "no policy of the fleet yet" if holder.linked else "no keeper has been reached yet"
        changing, out = "the fleet's policy is changing", "the lease on the fleet's policy has run out"
        return changing if holder.linked else out

    def figures(self) -> dict[str, float]:
        """For those who watch: the version served under (0 for none), the lease's seconds, and so on."""
        now = self._clock()
        return {
            "version": float(self.holder.serving(now)),
            "lease": round(self.holder.left(now), 3),
            "linked": float(self.holder.linked),
            "refused": float(self.refused),
        }

    # Running --------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Holds a link to whoever leads until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._renewing)
            await self._leader.run()

    def link(self, up: bool) -> None:
        self.holder.link(up, self._clock())
        self._due.set()  # it may ask for a lease from now on
        self._pump()

    def heard(self, message: FromKeeper) -> str | None:
        if isinstance(message, Elsewhere):
            return message.leader
        self.holder.heard(message, self._clock())
        self._pump()
        self._due.set()  # it may be due sooner now
        return None

    def silence(self) -> float:
        return SILENT * self.holder.renew

    async def _renewing(self) -> None:
        while True:
            self._due = due = anyio.Event()
            self.holder.tick(self._clock())
            self._pump()
            with anyio.move_on_after(max(0.0, self.holder.next_at - self._clock())):
                await due.wait()

    def _pump(self) -> None:
        """Carries out what the holder wishes, until there is nothing more."""
        while True:
            wish = self.holder.take()
            for message in wish.say:
                self._leader.outbox.put(message)
            for check in wish.check:
                self.holder.checked(check, self._parts.check(check.data))
            for document, data in wish.apply:
                why = self._parts.apply(data)
                self.holder.took(document, why)
                if why:
                    log.error("the fleet's policy can't be taken", why=why)
                else:
                    log.info("the fleet's policy is taken", version=self.holder.version, document=document)
            if not (wish.say or wish.check or wish.apply):
                return
            self._due.set()

    async def end(self, patience: float) -> None:
        """An orderly end: lets go, so that a change need not wait for this process's lease."""
        self.holder.end()
        self._pump()
        await self._leader.flush(patience)
