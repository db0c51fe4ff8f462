"""A keeper: one member of a group on sockets and a disk. Its links, its writes in order, its callers."""

from __future__ import annotations

import json
import random
import time
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import anyio.to_thread
import msgspec
import structlog

from zincladder.agreement import calls
from zincladder.agreement.member import Busy, Member, NotLeader, Role, Timing
from zincladder.agreement.model import Entry, Kind, Members, Message, Output
from zincladder.agreement.registers import Registers, Result, Swap
from zincladder.agreement.store import Store
from zincladder.config import parse_address
from zincladder.config.keeper import KeeperConfig
from zincladder.links.frames import VERSION, Hello, Spoilt, Stranger, Welcome, check
from zincladder.links.host import FAILED, Link, Outbox, Patience, connect, greeted
from zincladder.support.rate_limited_log import RateLimitedLog

MOST_LINKS = 4096  # each of 2,048 fronts holds one, and another while it is upgraded
MOST_MET = 16  # keepers, by one that is being added and knows no members yet
MOST_WAITING = 256  # messages to one member
MOST_FOUND = 900_000  # bytes of registers in one answer, which has to fit a message
DECIDED = 5.0  # seconds for a majority to answer before a caller is told that it has not
ROLES = ("keeper", "operator")  # and those that the work on the group serves
log = structlog.get_logger()


class Undecided(Exception):
    """It may come about or not: the text says what is known."""


class Waiter:
    """Who waits for what becomes of an entry or a reading."""

    def __init__(self, term: int = 0) -> None:
        self.term = term
        self.done = anyio.Event()
        self.result: Result | None = None  # none if it was lost

    def tell(self, result: Result | None) -> None:
        self.result = result
        self.done.set()

    async def told(self) -> Result | None:
        with anyio.move_on_after(DECIDED):
            await self.done.wait()
        if not self.done.is_set():
            raise Undecided("no majority has answered yet")
        return self.result


class Keeper:
    """One keeper. `run` ends with a JournalError where its directory fails: its vote ends with it."""

    def __init__(
        self, config: KeeperConfig, store: Store, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.config, self._store, self._clock = config, store, clock
        seed = int(store.identity.birth, 16)
        self._random = random.Random(seed)
        timing = Timing(config.heartbeat, config.election)
        stored = store.stored
        self.member = Member(config.name, stored, clock(), self._random.getrandbits(32), timing)
        self.registers, self.applied = Registers(stored.snapshot.state), stored.snapshot.index
        self._disk = anyio.Lock()
        self._due = anyio.Event()
        self._outboxes: dict[str, Outbox] = {}
        # To whom it doesn't dial: one that is being added knows no address yet but answers all the same.
        self._back: dict[str, Outbox] = {}
        self._dialled: dict[str, tuple[str, anyio.CancelScope]] = {}
        self._reached = Members({})  # those whom the links are for
        self._waiters: dict[int, Waiter] = {}
        self._readers: dict[int, Waiter] = {}
        self._tickets = 0
        self._links = 0
        self._seen = ("", "")  # role and leader, as logged last
        self._tasks: anyio.abc.TaskGroup | None = None
        self._warning = RateLimitedLog().warning
        # What stands on the group: called when the role or the state may have changed, why a caller's swap
        # can't be taken, how it comes on, and who serves the links of which role.
        self.watching: list[Callable[[], None]] = []
        self.faults: list[Callable[[Swap], str]] = []
        self.progress: list[Callable[[], dict[str, object]]] = []
        self.serves: dict[str, Callable[[Link, Hello], Awaitable[None]]] = {}
        self.collect: Callable[[], calls.Collected] = lambda: calls.Collected("", {})
        self._hello = Hello(VERSION, config.group, "keeper", config.name, store.identity.birth)
        self._welcome = Welcome(config.name, store.identity.birth)

    # Running --------------------------------------------------------------------------------------

    async def run(self, *, task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until it is cancelled; tells the port."""
        host, port = self.config.listen
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(listener.serve, self._accepted)
            self._dial_members()
            log.info(
                "keeping",
                group=self.config.group,
                name=self.config.name,
                port=port,
                term=self.member.term,
                entries=self.member.log.last,
                begun=not self._store.found,
                torn=self._store.torn,
            )
            task_status.started(port)
            await self._work()

    async def _work(self) -> None:
        """Writes, then sends, then applies: what is said by this member is on its disk."""
        while True:
            self._due = due = anyio.Event()
            self.member.tick(self._clock())
            output = self.member.take()
            if output.writes:
                async with self._disk:
                    await anyio.to_thread.run_sync(self._store.write, output)
            for to, message in output.messages:
                if outbox := self._outboxes.get(to) or self._back.get(to):
                    outbox.put(message)
            if self.member.members is not self._reached:  # in force from the entry on, decided or not
                self._dial_members()
            await self._apply(output)
            self._log_standing()
            for wake in self.watching:
                wake()
            if self._store.long and self.applied > self.member.log.base:
                self.member.compact(self.applied, self.registers.dump())
                continue
            with anyio.move_on_after(max(0.0, self.member.next_at - self._clock())):
                await due.wait()

    async def _apply(self, output: Output) -> None:
        if output.fresh and output.snapshot:
            self.registers = Registers(output.snapshot.state)
            self.applied = output.snapshot.index
            for index in [i for i in self._waiters if i <= self.applied]:
                self._waiters.pop(index).tell(None)
        for entry in output.committed:
            self.applied += 1
            result = await self._entry(entry)
            if waiter := self._waiters.pop(self.applied, None):
                waiter.tell(result if waiter.term == entry.term else None)
        for ticket in output.reads:
            self._readers.pop(ticket).done.set()
        for ticket in output.lost:
            self._readers[ticket].term = -1
            self._readers.pop(ticket).done.set()

    async def _entry(self, entry: Entry) -> Result | None:
        if entry.kind is Kind.DATA:
            return self.registers.apply(self.applied, entry.data)
        if entry.kind is Kind.MEMBERS:
            gone = self._store.births.keys() - self.member.members.all.keys()
            async with self._disk:
                for name in gone:
                    await anyio.to_thread.run_sync(self._store.forget, name)
        return None

    def _log_standing(self) -> None:
        seen = (self.member.role.value, self.member.leader)
        if seen != self._seen and self.member.role in (Role.LEADER, Role.FOLLOWER):
            self._seen = seen
            log.info("standing", role=seen[0], leader=seen[1], term=self.member.term, entries=self.applied)

    def _wake(self) -> None:
        self._due.set()

    # Links ----------------------------------------------------------------------------------------

    def _dial_members(self) -> None:
        """One task for each other member; those that are gone, or have moved, end."""
        assert self._tasks is not None
        self._reached = self.member.members
        wanted = {n: self.config.via.get(n, w) for n, w in self._reached.all.items()}
        wanted.pop(self.config.name, None)
        for name, (where, scope) in list(self._dialled.items()):
            if wanted.get(name) != where:
                scope.cancel()
                del self._dialled[name], self._outboxes[name]
        for name, where in wanted.items():
            if name not in self._dialled:
                scope, outbox = anyio.CancelScope(), Outbox(MOST_WAITING)
                self._dialled[name], self._outboxes[name] = (where, scope), outbox
                self._tasks.start_soon(self._dial, name, where, scope, outbox)

    async def _dial(self, name: str, where: str, scope: anyio.CancelScope, outbox: Outbox) -> None:
        patience, said = Patience(self._random.random), ""
        with scope:
            while True:
                try:
                    link, welcome = await connect(parse_address(where), self._hello)
                    try:
                        await self._check_birth(name, welcome)
                        patience.met()
                        said = ""
                        async with anyio.create_task_group() as tasks:
                            tasks.start_soon(outbox.send_to, link)
                            await self._hear(link, name)
                    finally:
                        await link.close()
                except* Stranger as fault:
                    why = str(fault.exceptions[0])
                    if why != said:  # once for each reason, however often it is tried
                        said = why
                        log.error("refused by another keeper", keeper=name, why=why)
                except* FAILED:
                    pass
                await anyio.sleep(patience.wait())

    async def _check_birth(self, name: str, welcome: Welcome) -> None:
        if welcome.name != name:
            raise Stranger(f"it is {welcome.name[:40]!r}")
        if not await self._met(name, welcome.birth):
            raise Stranger("its directory is not the one that this keeper knows; remove it and add it anew")

    async def _met(self, name: str, birth: str) -> bool:
        """Guards votes: one that lost its directory has forgotten whom it voted for, and what it stored."""
        if self._store.births.get(name) == birth:
            return True
        async with self._disk:
            return await anyio.to_thread.run_sync(self._store.met, name, birth)

    def _why_not(self, hello: Hello) -> str:
        if why := check(hello, self.config.group, (*ROLES, *self.serves)):
            return why
        if self._links > MOST_LINKS:
            return "too many links"
        if hello.role != "keeper":
            return ""
        known = self.member.members.all
        if known and hello.name not in known:
            return f"{hello.name!r} is no member"
        if not known and len(self._store.births) >= MOST_MET and hello.name not in self._store.births:
            return "too many keepers before the group's members are known"
        if hello.name == self.config.name:
            return f"{hello.name!r} is this keeper's own name"
        if self._store.births.get(hello.name, hello.birth) != hello.birth:
            return "its directory is not the one that was known under this name; remove it and add it anew"
        return ""

    async def _accepted(self, stream: anyio.abc.ByteStream) -> None:
        link, hello = Link(stream), None
        self._links += 1
        try:
            hello = await greeted(link, self._welcome, self._why_not)
            if hello.role == "keeper":
                if await self._met(hello.name, hello.birth):
                    await self._talk(link, hello.name)
            elif serve := self.serves.get(hello.role):
                await serve(link, hello)
            else:
                await self._answer_calls(link)
        except Stranger as fault:
            self._warning("link refused", why=str(fault))
        except FAILED as fault:
            if hello is None or isinstance(fault, Spoilt):
                why = str(fault) or type(fault).__name__
                self._warning("a link ended in a message", why=why, peer=hello.name[:40] if hello else "")
        except Exception:  # guards the group: a fault in one link must not cost a vote
            log.exception("a link failed")
        finally:
            self._links -= 1
            await link.close()

    async def _talk(self, link: Link, name: str) -> None:
        outbox = self._back[name] = Outbox(MOST_WAITING)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(outbox.send_to, link)
                await self._hear(link, name)
        except* Stranger as faults:
            self._warning("link refused", why=str(faults.exceptions[0]))
        except* FAILED:
            pass
        finally:
            if self._back.get(name) is outbox:
                del self._back[name]

    async def _hear(self, link: Link, name: str) -> None:
        while True:
            message = await link.receive(Message)
            if self._store.births.get(name) is None:
                raise Stranger(f"{name!r} is no member any more")
            self.member.receive(name, message, self._clock())
            self._wake()

    # Callers --------------------------------------------------------------------------------------

    async def _answer_calls(self, link: Link) -> None:
        while True:
            call: calls.Call = await link.receive(calls.Call)
            await link.send(calls.Answer(call.number, await self.answer(call.what)))

    async def answer(self, what: calls.What) -> calls.Said:
        """One question, from whoever asks."""
        try:
            if isinstance(what, calls.Status):
                return self.standing()
            if isinstance(what, Swap):
                why = next((why for fault in self.faults if (why := fault(what))), "")
                return calls.Failed(why) if why else await self.swap(what)
            if isinstance(what, calls.Get):
                await self.confirm()
                found = self.registers.under(what.prefix)
                if sum(len(k) + len(v.data) for k, v in found.items()) > MOST_FOUND:
                    return calls.Failed(f"over {MOST_FOUND} bytes under {what.prefix[:40]!r}: ask for less")
                return calls.Found(found)
            if isinstance(what, calls.Progress):
                await self.confirm()
                told = {key: value for part in self.progress for key, value in part().items()}
                return calls.Told(json.dumps(told).encode())
            if isinstance(what, calls.Collect):
                await self.confirm()
                return self.collect()
            if isinstance(what, calls.Change):
                await self.change(what)
            elif self.member.role is not Role.LEADER:
                raise NotLeader(self.member.leader)
            else:
                self.member.step_aside(self._clock())
                self._wake()
            return calls.Done()
        except NotLeader:
            leader = self.member.leader
            return calls.Moved(leader, self.member.members.all.get(leader, ""))
        except Busy as fault:
            return calls.Failed(str(fault))
        except Undecided as fault:
            return calls.Unknown(str(fault))

    async def _decided(self, place: tuple[int, int]) -> Result | None:
        """Waits for what becomes of an entry that was taken."""
        index, term = place
        waiter = self._waiters[index] = Waiter(term)
        self._wake()
        try:
            result = await waiter.told()
        finally:
            if self._waiters.get(index) is waiter:
                del self._waiters[index]
        return result

    async def swap(self, what: Swap) -> Result:
        """Compare and swap. NotLeader or Busy: not done. Undecided: nobody can say yet."""
        result = await self._decided(self.member.propose(msgspec.msgpack.encode(what)))
        if result is None:
            raise Undecided("the leader has changed meanwhile")
        return result

    async def confirm(self) -> None:
        """Returns once the registers are no older than this call; else NotLeader, Busy or Undecided."""
        self._tickets += 1
        ticket, waiter = self._tickets, Waiter()
        self.member.read(ticket)
        self._readers[ticket] = waiter
        self._wake()
        await waiter.told()
        if waiter.term < 0:
            raise NotLeader(self.member.leader)

    async def change(self, what: calls.Change) -> None:
        await self.confirm()  # one that has just been elected takes no other members before its first entry
        members = self.member.members
        for name, where in what.add.items():
            try:
                parse_address(where)
            except ValueError:
                raise Busy(f"{where[:40]!r} is no address like 127.0.0.1:7300") from None
            if name in members.all:
                raise Busy(f"{name!r} is a member already")
        if what.remove and what.remove not in members.all:
            raise Busy(f"{what.remove!r} is no member")
        voters = {n: w for n, w in members.voters.items() if n != what.remove}
        learners = {n: w for n, w in members.learners.items() if n != what.remove}
        await self._decided(self.member.change(Members(voters, learners | what.add)))

    def standing(self) -> calls.Standing:
        m, now = self.member, self._clock()
        return calls.Standing(
            name=m.name,
            role=m.role.value,
            leader=m.leader,
            term=m.term,
            commit=m.commit,
            last=m.log.last,
            base=m.log.base,
            voters=m.members.voters,
            learners=m.members.learners,
            stored={n: p.match for n, p in m.peers.items()},
            silent=sorted(n for n, p in m.peers.items() if now - p.heard > self.config.election),
            older=m.older,
            registers=len(self.registers),
            bytes_kept=self._store.size,
        )

    @property
    def leads(self) -> bool:
        return self.member.role is Role.LEADER

    async def step_aside(self, patience: float) -> None:
        """Before an orderly end: lets another lead, if there is one that can."""
        if not self.leads:
            return
        self.member.step_aside(self._clock())
        self._wake()
        with anyio.move_on_after(patience):
            while self.leads:
                await anyio.sleep(self.config.heartbeat / 2)
