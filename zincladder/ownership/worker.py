"""A process's part in the fleet's duties: its link to the leading keeper, and its work. On anyio.

Loaded only where the operator's file has [duties].
"""

from __future__ import annotations

import os
import random
from collections.abc import Awaitable, Callable, Mapping

import anyio
import anyio.abc
import structlog

from zincladder.config import DutiesConfig
from zincladder.consensus import rpc
from zincladder.consensus.client import Client
from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError
from zincladder.consensus.key_value_state import (
    CapacityExceeded,
    FencingTokenRejected,
    Swapped,
    VersionMismatch,
)
from zincladder.links.clocks import boottime
from zincladder.links.frames import VERSION, Hello
from zincladder.links.leader_link import LeaderLink
from zincladder.ownership.model import Elsewhere, FromKeeper, Tells, checkpoint, progress_key
from zincladder.ownership.owner import Owner

SILENT = 2.5  # askings without a word after which another keeper is tried
AGAIN = (0.2, 5.0)  # seconds after work that failed, doubled from the first to the second
TELL = 2.0  # seconds between two words on what was counted
log = structlog.get_logger()


class Lost(Exception):
    """This process may not act on the duty any more, or not now."""


class NoRoom(Exception):
    """The group can't keep so much progress; the text says what there is no room for."""


class Hand:
    """What a piece of work holds while its process owns the duty."""

    def __init__(self, worker: Worker, duty: str) -> None:
        self._worker, self.duty = worker, duty

    def token(self) -> int:
        """The token to act under, right before an effect; Lost if there is none at this moment.

        To be asked after the last await before each effect, and never remembered over one.
        """
        if token := self._worker.acting(self.duty):
            return token
        raise Lost(self.duty)

    async def progress(self) -> tuple[int, bytes]:
        """What was kept last, by whomever, and the version to keep the next from; (0, b"") for nothing."""
        self.token()
        wanted = progress_key(self.duty)
        found = (await self._worker.client().get(wanted)).get(wanted)
        return (found.version, found.data) if found else (0, b"")

    async def keep(self, expected: int, data: bytes) -> int:
        """Keeps progress, if this still is the owner when the group writes it; its version. Else Lost.

        NoRoom where it is too much.
        """
        swap = checkpoint(self.duty, self.token(), expected, data)
        while True:
            try:
                said = await self._worker.client().ask(swap)
            except (RequestFailedError, OutcomeUnknownError):
                said = rpc.OutcomeUnknown("")
            match said:
                case Swapped(version):
                    return version
                case FencingTokenRejected():
                    self.fenced("log")
                    raise Lost(self.duty)
                case CapacityExceeded(why):
                    raise NoRoom(why)
                case VersionMismatch(version) if version != expected:
                    # Perhaps this very write, whose answer was lost: nobody else writes under this token.
                    if (await self.progress()) == (version, data):
                        return version
                    raise Lost(self.duty)
            self.token()
            await anyio.sleep(AGAIN[0])

    def fenced(self, where: str) -> None:
        """An effect of this owner's was refused because a newer one has worked there."""
        self._worker.fenced += 1
        log.warning("refused by a fence", duty=self.duty, at=where)

    async def collect(self) -> rpc.CollectedCounters:
        """The sums of what all processes have told the leader."""
        said = await self._worker.client().ask(rpc.CollectCounters())
        if not isinstance(said, rpc.CollectedCounters):
            raise RequestFailedError(str(said))
        return said


Work = Callable[[Hand], Awaitable[None]]


class Worker:
    """One process."""

    def __init__(
        self,
        config: DutiesConfig,
        name: str,
        works: Mapping[str, Work],
        counters: Callable[[], dict[str, float]],
        clock: Callable[[], float] = boottime,
    ) -> None:
        self._config, self._name, self._works, self._clock = config, name, dict(works), clock
        self._counters = counters
        self.owner = Owner(self._works, clock())
        hello = Hello(VERSION, config.group, "worker", name, os.urandom(8).hex())
        self._random = random.Random(hello.birth)
        self._leader = LeaderLink(config.keepers, hello, FromKeeper, self, self._random)
        self._due = anyio.Event()
        self._scopes: dict[str, anyio.CancelScope] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self.failures = self.fenced = 0

    def acting(self, duty: str) -> int:
        return self.owner.acting(duty, self._clock())

    def client(self) -> Client:
        return Client(self._config.group, self._config.keepers, self._name)

    def figures(self) -> dict[str, float]:
        """For those who watch: duties owned now, the shortest lease left, work that failed or came late."""
        now = self._clock()
        left = [self.owner.left(d, now) for d in self.owner.held if self.owner.acting(d, now)]
        return {
            "owned": float(len(left)),
            "lease": round(min(left, default=0.0), 3),
            "linked": float(self.owner.linked),
            "failures": float(self.failures),
            "fenced": float(self.fenced),
        }

    # Running --------------------------------------------------------------------------------------

    async def run(self, stopping: anyio.Event) -> None:
        """Until it is cancelled; from `stopping` on it gives back what it has, and takes nothing more."""
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self._renewing)
            self._tasks.start_soon(self._telling)
            self._tasks.start_soon(self._leave, stopping)
            await self._leader.run()

    async def _leave(self, stopping: anyio.Event) -> None:
        await stopping.wait()
        self.owner.leave()
        self._pump()

    async def end(self, patience: float) -> None:
        """The last word of a process that ends: what it gave back is told, also if it ends at once."""
        self.owner.leave()
        self._pump()
        await self._leader.flush(patience)

    def link(self, up: bool) -> None:
        self.owner.link(up, self._clock())
        self._pump()
        self._due.set()  # it may be due sooner now

    def heard(self, message: FromKeeper) -> str | None:
        if isinstance(message, Elsewhere):
            return message.leader
        self.owner.heard(message, self._clock())
        self._pump()
        self._due.set()
        return None

    def silence(self) -> float:
        return SILENT * self.owner.between

    async def _renewing(self) -> None:
        while True:
            self._due = due = anyio.Event()
            self.owner.tick(self._clock())
            self._pump()
            with anyio.move_on_after(max(0.0, self.owner.next_at - self._clock())):
                await due.wait()

    async def _telling(self) -> None:
        while True:
            if self.owner.linked:
                self._leader.outbox.put(Tells(self._counters()))
            await anyio.sleep(TELL * (0.9 + 0.2 * self._random.random()))  # not all of a fleet at once

    def _pump(self) -> None:
        wish = self.owner.take()
        for duty in wish.end:
            if scope := self._scopes.pop(duty, None):
                scope.cancel()
        for message in wish.say:
            self._leader.outbox.put(message)
        for duty in wish.begin:
            assert self._tasks is not None
            scope = self._scopes[duty] = anyio.CancelScope()
            self._tasks.start_soon(self._work, duty, scope)

    async def _work(self, duty: str, scope: anyio.CancelScope) -> None:
        """Does a duty's work for as long as this process owns it; work that fails is begun anew."""
        log.info("duty begins", duty=duty, token=self.acting(duty))
        pause = AGAIN[0]
        with scope:
            while self.acting(duty):
                try:
                    await self._works[duty](Hand(self, duty))
                except Lost:
                    # Its lease may have run out a moment before the word of it comes, or comes anew.
                    await anyio.sleep(AGAIN[0])
                    continue
                except (RequestFailedError, OutcomeUnknownError) as fault:
                    log.info("duty waits for the group", duty=duty, why=str(fault))
                except Exception:
                    self.failures += 1
                    log.exception("duty's work failed", duty=duty)
                await anyio.sleep(pause * (0.5 + self._random.random()))
                pause = min(AGAIN[1], 2 * pause)
        log.info("duty ends", duty=duty)
        if self._scopes.get(duty) is scope:
            del self._scopes[duty]
