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

from zincladder.config import parse_address
from zincladder.config.replica import ReplicaConfig
from zincladder.consensus import rpc
from zincladder.consensus.errors import BusyError, CommitUnknownError, NotLeaderError
from zincladder.consensus.key_value_state import CompareAndSwap, CompareAndSwapResult, KeyValueState
from zincladder.consensus.model import Entry, EntryKind, Membership, Message, Output
from zincladder.consensus.raft import RaftNode
from zincladder.consensus.raft_state import RaftTiming, Role
from zincladder.consensus.store import ReplicaStore
from zincladder.links.connection import (
    LINK_ERRORS,
    Link,
    ReconnectBackoff,
    SendQueue,
    accept_handshake,
    connect,
)
from zincladder.links.frames import (
    VERSION,
    FrameError,
    HandshakeRejectedError,
    Hello,
    Welcome,
    handshake_error,
)
from zincladder.support.rate_limited_log import RateLimitedLog

MAX_LINKS = 4096  # each of 2,048 fronts holds one, and another while it is upgraded
MAX_UNCONFIRMED_PEERS = 16  # keepers, by one that is being added and knows no members yet
MAX_QUEUED_MESSAGES = 256  # messages to one member
MAX_VALUES_BYTES = 900_000  # bytes of registers in one answer, which has to fit a message
COMMIT_TIMEOUT_SECONDS = 5.0  # seconds for a majority to answer before a caller is told that it has not
ROLES = ("keeper", "operator")  # and those that the work on the group serves
log = structlog.get_logger()


class PendingResult:
    """Who waits for what becomes of an entry or a reading."""

    def __init__(self, term: int = 0) -> None:
        self.term = term
        self.done = anyio.Event()
        self.result: CompareAndSwapResult | None = None  # none if it was lost

    def tell(self, result: CompareAndSwapResult | None) -> None:
        self.result = result
        self.done.set()

    async def told(self) -> CompareAndSwapResult | None:
        with anyio.move_on_after(COMMIT_TIMEOUT_SECONDS):
            await self.done.wait()
        if not self.done.is_set():
            raise CommitUnknownError("no majority has answered yet")
        return self.result


class ReplicaServer:
    """One keeper. `run` ends with a JournalError where its directory fails: its vote ends with it."""

    def __init__(
        self, config: ReplicaConfig, store: ReplicaStore, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.config, self._store, self._clock = config, store, clock
        seed = int(store.identity.birth, 16)
        self._random = random.Random(seed)
        timing = RaftTiming(config.heartbeat, config.election)
        stored = store.stored
        self.node = RaftNode(config.name, stored, clock(), self._random.getrandbits(32), timing)
        self.state, self.applied_index = KeyValueState(stored.snapshot.state), stored.snapshot.index
        self._disk = anyio.Lock()
        self._due = anyio.Event()
        self._outboxes: dict[str, SendQueue] = {}
        # To whom it doesn't dial: one that is being added knows no address yet but answers all the same.
        self._back: dict[str, SendQueue] = {}
        self._dialled: dict[str, tuple[str, anyio.CancelScope]] = {}
        self._reached = Membership({})  # those whom the links are for
        self._waiters: dict[int, PendingResult] = {}
        self._readers: dict[int, PendingResult] = {}
        self._tickets = 0
        self._links = 0
        self._seen = ("", "")  # role and leader, as logged last
        self._tasks: anyio.abc.TaskGroup | None = None
        self._warning = RateLimitedLog().warning
        # What stands on the group: called when the role or the state may have changed, why a caller's swap
        # can't be taken, how it comes on, and who serves the links of which role.
        self.state_listeners: list[Callable[[], None]] = []
        self.swap_validators: list[Callable[[CompareAndSwap], str]] = []
        self.progress: list[Callable[[], dict[str, object]]] = []
        self.link_handlers: dict[str, Callable[[Link, Hello], Awaitable[None]]] = {}
        self.collect_counters: Callable[[], rpc.CollectedCounters] = lambda: rpc.CollectedCounters("", {})
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
                term=self.node.term,
                entries=self.node.log.last_index,
                begun=not self._store.found,
                torn=self._store.torn,
            )
            task_status.started(port)
            await self._work()

    async def _work(self) -> None:
        """Writes, then sends, then applies: what is said by this member is on its disk."""
        while True:
            self._due = due = anyio.Event()
            self.node.tick(self._clock())
            output = self.node.take_output()
            if output.has_writes:
                async with self._disk:
                    await anyio.to_thread.run_sync(self._store.write, output)
            for to, message in output.messages:
                if outbox := self._outboxes.get(to) or self._back.get(to):
                    outbox.put(message)
            if self.node.membership is not self._reached:  # in force from the entry on, decided or not
                self._dial_members()
            await self._apply(output)
            self._log_standing()
            for wake in self.state_listeners:
                wake()
            if self._store.long and self.applied_index > self.node.log.snapshot_index:
                self.node.compact(self.applied_index, self.state.dump())
                continue
            with anyio.move_on_after(max(0.0, self.node.next_at - self._clock())):
                await due.wait()

    async def _apply(self, output: Output) -> None:
        if output.restore_state and output.snapshot:
            self.state = KeyValueState(output.snapshot.state)
            self.applied_index = output.snapshot.index
            for index in [i for i in self._waiters if i <= self.applied_index]:
                self._waiters.pop(index).tell(None)
        for entry in output.committed:
            self.applied_index += 1
            result = await self._entry(entry)
            if waiter := self._waiters.pop(self.applied_index, None):
                waiter.tell(result if waiter.term == entry.term else None)
        for ticket in output.ready_reads:
            self._readers.pop(ticket).done.set()
        for ticket in output.failed_reads:
            self._readers[ticket].term = -1
            self._readers.pop(ticket).done.set()

    async def _entry(self, entry: Entry) -> CompareAndSwapResult | None:
        if entry.kind is EntryKind.DATA:
            return self.state.apply(self.applied_index, entry.data)
        if entry.kind is EntryKind.MEMBERS:
            gone = self._store.births.keys() - self.node.membership.addresses.keys()
            async with self._disk:
                for name in gone:
                    await anyio.to_thread.run_sync(self._store.forget, name)
        return None

    def _log_standing(self) -> None:
        seen = (self.node.role.value, self.node.leader)
        if seen != self._seen and self.node.role in (Role.LEADER, Role.FOLLOWER):
            self._seen = seen
            log.info(
                "standing", role=seen[0], leader=seen[1], term=self.node.term, entries=self.applied_index
            )

    def _wake(self) -> None:
        self._due.set()

    # Links ----------------------------------------------------------------------------------------

    def _dial_members(self) -> None:
        """One task for each other member; those that are gone, or have moved, end."""
        assert self._tasks is not None
        self._reached = self.node.membership
        wanted = {n: self.config.via.get(n, w) for n, w in self._reached.addresses.items()}
        wanted.pop(self.config.name, None)
        for name, (where, scope) in list(self._dialled.items()):
            if wanted.get(name) != where:
                scope.cancel()
                del self._dialled[name], self._outboxes[name]
        for name, where in wanted.items():
            if name not in self._dialled:
                scope, outbox = anyio.CancelScope(), SendQueue(MAX_QUEUED_MESSAGES)
                self._dialled[name], self._outboxes[name] = (where, scope), outbox
                self._tasks.start_soon(self._dial, name, where, scope, outbox)

    async def _dial(self, name: str, where: str, scope: anyio.CancelScope, outbox: SendQueue) -> None:
        patience, said = ReconnectBackoff(self._random.random), ""
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
                except* HandshakeRejectedError as fault:
                    why = str(fault.exceptions[0])
                    if why != said:  # once for each reason, however often it is tried
                        said = why
                        log.error("refused by another keeper", replica=name, why=why)
                except* LINK_ERRORS:
                    pass
                await anyio.sleep(patience.wait())

    async def _check_birth(self, name: str, welcome: Welcome) -> None:
        if welcome.name != name:
            raise HandshakeRejectedError(f"it is {welcome.name[:40]!r}")
        if not await self._met(name, welcome.birth):
            raise HandshakeRejectedError(
                "its directory is not the one that this keeper knows; remove it and add it anew"
            )

    async def _met(self, name: str, birth: str) -> bool:
        """Guards votes: one that lost its directory has forgotten whom it voted for, and what it stored."""
        if self._store.births.get(name) == birth:
            return True
        async with self._disk:
            return await anyio.to_thread.run_sync(self._store.met, name, birth)

    def _why_not(self, hello: Hello) -> str:
        if why := handshake_error(hello, self.config.group, (*ROLES, *self.link_handlers)):
            return why
        if self._links > MAX_LINKS:
            return "too many links"
        if hello.role != "keeper":
            return ""
        known = self.node.membership.addresses
        if known and hello.name not in known:
            return f"{hello.name!r} is no member"
        if (
            not known
            and len(self._store.births) >= MAX_UNCONFIRMED_PEERS
            and hello.name not in self._store.births
        ):
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
            hello = await accept_handshake(link, self._welcome, self._why_not)
            if hello.role == "keeper":
                if await self._met(hello.name, hello.birth):
                    await self._talk(link, hello.name)
            elif serve := self.link_handlers.get(hello.role):
                await serve(link, hello)
            else:
                await self._answer_calls(link)
        except HandshakeRejectedError as fault:
            self._warning("link refused", why=str(fault))
        except LINK_ERRORS as fault:
            if hello is None or isinstance(fault, FrameError):
                why = str(fault) or type(fault).__name__
                self._warning("a link ended in a message", why=why, peer=hello.name[:40] if hello else "")
        except Exception:  # guards the group: a fault in one link must not cost a vote
            log.exception("a link failed")
        finally:
            self._links -= 1
            await link.close()

    async def _talk(self, link: Link, name: str) -> None:
        outbox = self._back[name] = SendQueue(MAX_QUEUED_MESSAGES)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(outbox.send_to, link)
                await self._hear(link, name)
        except* HandshakeRejectedError as faults:
            self._warning("link refused", why=str(faults.exceptions[0]))
        except* LINK_ERRORS:
            pass
        finally:
            if self._back.get(name) is outbox:
                del self._back[name]

    async def _hear(self, link: Link, name: str) -> None:
        while True:
            message = await link.receive(Message)
            if self._store.births.get(name) is None:
                raise HandshakeRejectedError(f"{name!r} is no member any more")
            self.node.receive(name, message, self._clock())
            self._wake()

    # Callers --------------------------------------------------------------------------------------

    async def _answer_calls(self, link: Link) -> None:
        while True:
            call: rpc.RpcRequest = await link.receive(rpc.RpcRequest)
            await link.send(rpc.RpcResponse(call.number, await self.answer(call.what)))

    async def answer(self, what: rpc.RequestBody) -> rpc.ResponseBody:
        """One question, from whoever asks."""
        try:
            if isinstance(what, rpc.GetStatus):
                return self.status()
            if isinstance(what, CompareAndSwap):
                why = next((why for fault in self.swap_validators if (why := fault(what))), "")
                return rpc.RequestFailed(why) if why else await self.compare_and_swap(what)
            if isinstance(what, rpc.GetByPrefix):
                await self.confirm_leadership()
                found = self.state.with_prefix(what.prefix)
                if sum(len(k) + len(v.data) for k, v in found.items()) > MAX_VALUES_BYTES:
                    return rpc.RequestFailed(
                        f"over {MAX_VALUES_BYTES} bytes under {what.prefix[:40]!r}: ask for less"
                    )
                return rpc.ValuesByPrefix(found)
            if isinstance(what, rpc.GetProgress):
                await self.confirm_leadership()
                told = {key: value for part in self.progress for key, value in part().items()}
                return rpc.ProgressReport(json.dumps(told).encode())
            if isinstance(what, rpc.CollectCounters):
                await self.confirm_leadership()
                return self.collect_counters()
            if isinstance(what, rpc.ChangeMembership):
                await self.change(what)
            elif self.node.role is not Role.LEADER:
                raise NotLeaderError(self.node.leader)
            else:
                self.node.transfer_leadership(self._clock())
                self._wake()
            return rpc.Done()
        except NotLeaderError:
            leader = self.node.leader
            return rpc.NotLeader(leader, self.node.membership.addresses.get(leader, ""))
        except BusyError as fault:
            return rpc.RequestFailed(str(fault))
        except CommitUnknownError as fault:
            return rpc.OutcomeUnknown(str(fault))

    async def _decided(self, place: tuple[int, int]) -> CompareAndSwapResult | None:
        """Waits for what becomes of an entry that was taken."""
        index, term = place
        waiter = self._waiters[index] = PendingResult(term)
        self._wake()
        try:
            result = await waiter.told()
        finally:
            if self._waiters.get(index) is waiter:
                del self._waiters[index]
        return result

    async def compare_and_swap(self, what: CompareAndSwap) -> CompareAndSwapResult:
        """Compare and swap. NotLeader or Busy: not done. Undecided: nobody can say yet."""
        result = await self._decided(self.node.propose(msgspec.msgpack.encode(what)))
        if result is None:
            raise CommitUnknownError("the leader has changed meanwhile")
        return result

    async def confirm_leadership(self) -> None:
        """Returns once the registers are no older than this call; else NotLeader, Busy or Undecided."""
        self._tickets += 1
        ticket, waiter = self._tickets, PendingResult()
        self.node.request_read(ticket)
        self._readers[ticket] = waiter
        self._wake()
        await waiter.told()
        if waiter.term < 0:
            raise NotLeaderError(self.node.leader)

    async def change(self, what: rpc.ChangeMembership) -> None:
        await (
            self.confirm_leadership()
        )  # one that has just been elected takes no other members before its first entry
        members = self.node.membership
        for name, where in what.add.items():
            try:
                parse_address(where)
            except ValueError:
                raise BusyError(f"{where[:40]!r} is no address like 127.0.0.1:7300") from None
            if name in members.addresses:
                raise BusyError(f"{name!r} is a member already")
        if what.remove and what.remove not in members.addresses:
            raise BusyError(f"{what.remove!r} is no member")
        voters = {n: w for n, w in members.voters.items() if n != what.remove}
        learners = {n: w for n, w in members.learners.items() if n != what.remove}
        await self._decided(self.node.change_membership(Membership(voters, learners | what.add)))

    def status(self) -> rpc.ReplicaStatus:
        m, now = self.node, self._clock()
        return rpc.ReplicaStatus(
            name=m.name,
            role=m.role.value,
            leader=m.leader,
            term=m.term,
            commit=m.commit_index,
            last=m.log.last_index,
            base=m.log.snapshot_index,
            voters=m.membership.voters,
            learners=m.membership.learners,
            stored={n: p.match_index for n, p in m.peers.items()},
            silent=sorted(n for n, p in m.peers.items() if now - p.heard_at > self.config.election),
            older=m.stale_peers,
            registers=len(self.state),
            bytes_kept=self._store.size,
        )

    @property
    def is_leader(self) -> bool:
        return self.node.role is Role.LEADER

    async def transfer_leadership(self, patience: float) -> None:
        """Before an orderly end: lets another lead, if there is one that can."""
        if not self.is_leader:
            return
        self.node.transfer_leadership(self._clock())
        self._wake()
        with anyio.move_on_after(patience):
            while self.is_leader:
                await anyio.sleep(self.config.heartbeat / 2)
