"""A replica: one member of a group, with its connections and its disk. Uses anyio."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import msgspec
import structlog

from zincladder.config import parse_address
from zincladder.config.replica import ReplicaConfig
from zincladder.consensus import rpc
from zincladder.consensus.disk_writer import DiskWriter
from zincladder.consensus.errors import BusyError, CommitUnknownError, NotLeaderError
from zincladder.consensus.key_value_state import CompareAndSwap, CompareAndSwapResult, KeyValueState
from zincladder.consensus.model import Entry, EntryKind, Membership, Message, Output
from zincladder.consensus.peer_links import REPLICA_ROLE, PeerLinks
from zincladder.consensus.pending import PendingConfirmation, PendingEntry
from zincladder.consensus.raft import RaftNode
from zincladder.consensus.raft_state import RaftTiming, Role
from zincladder.consensus.rpc_service import RpcService
from zincladder.consensus.store import ReplicaStore
from zincladder.links.connection import LINK_ERRORS, IncompleteFrames, Link, accept_handshake
from zincladder.links.errors import FrameError, HandshakeRejectedError
from zincladder.links.frames import Hello, Welcome, handshake_error
from zincladder.support.listeners import accept_streams
from zincladder.support.rate_limited_log import RateLimitedLog

MAX_LINKS = 4096  # up to 2,048 fronts with one link each, and a second one during an upgrade
MAX_INCOMPLETE_BYTES = 32 << 20  # what the incomplete messages of all accepted links may hold
OPERATOR_ROLE = "operator"  # the role in the Hello of a consensus Client
log = structlog.get_logger()


class ReplicaServer:
    """Runs one replica.

    `run` raises JournalError once the directory can't be written: without durable storage the replica may not
    vote. The services of the leader register their callbacks in the public attributes.
    """

    def __init__(
        self, config: ReplicaConfig, store: ReplicaStore, clock: Callable[[], float] = time.monotonic
    ) -> None:
        self.config, self._store, self._clock = config, store, clock
        instance_id = store.identity.instance_id
        generator = random.Random(int(instance_id, 16))
        timing = RaftTiming(config.heartbeat_seconds, config.election_timeout_seconds)
        stored = store.stored
        self.node = RaftNode(config.name, stored, clock(), generator.getrandbits(32), timing)
        self.state, self.applied_index = KeyValueState(stored.snapshot.state), stored.snapshot.index
        self._disk = DiskWriter(store)
        self._peers = PeerLinks(config, store, self._disk, self._handle_peer_message, generator.random)
        self._rpc = RpcService(self)
        self._welcome = Welcome(config.name, instance_id)
        self._wakeup = anyio.Event()
        self._pending_entries: dict[int, PendingEntry] = {}  # by index
        self._pending_confirmations: dict[int, PendingConfirmation] = {}  # by ticket
        self._last_ticket = 0
        self._open_links = 0
        self._incomplete_frames = IncompleteFrames(MAX_INCOMPLETE_BYTES)
        self._logged_role = ("", "")  # role and leader
        self._warning = RateLimitedLog().warning
        # Called whenever the role or the state may have changed.
        self.state_listeners: list[Callable[[], None]] = []
        # Each returns the reason to reject a client's swap, or "" to accept it.
        self.swap_validators: list[Callable[[CompareAndSwap], str]] = []
        # Each returns a part of the response to GetProgress.
        self.progress_reporters: list[Callable[[], dict[str, object]]] = []
        # The handler of the links of each role.
        self.link_handlers: dict[str, Callable[[Link, Hello], Awaitable[None]]] = {}
        self.collect_counters: Callable[[], rpc.CollectedCounters] = lambda: rpc.CollectedCounters("", {})

    # Running --------------------------------------------------------------------------------------

    async def run(self, *, task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serves until it is cancelled. Reports the port to `task_status` once it listens."""
        host, port = self.config.listen
        listener = await anyio.create_tcp_listener(local_host=host, local_port=port)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with listener, anyio.create_task_group() as tasks:
            tasks.start_soon(accept_streams, listener, self._handle_connection, self._warning)
            self._peers.dial(self.node.membership, tasks)
            log.info(
                "replica started",
                group=self.config.group,
                name=self.config.name,
                port=port,
                term=self.node.term,
                last_index=self.node.log.last_index,
                new_directory=not self._store.existed,
                torn_bytes=self._store.torn_bytes,
            )
            task_status.started(port)
            while True:
                await self._run_once(tasks)

    async def _run_once(self, tasks: anyio.abc.TaskGroup) -> None:
        """Writes, sends and applies one output of the node, then waits until there is more to do.

        The order ensures that a message is sent only after the state behind it is on this replica's disk.
        """
        self._wakeup = wakeup = anyio.Event()
        self.node.tick(self._clock())
        output = self.node.take_output()
        await self._disk.write(output)
        for to, message in output.messages:
            self._peers.send(to, message)
        self._peers.dial(self.node.membership, tasks)  # a membership entry takes effect before its commit
        await self._apply(output)
        self._log_role()
        for listener in self.state_listeners:
            listener()
        if self._store.needs_compaction and self.applied_index > self.node.log.snapshot_index:
            self.node.compact(self.applied_index, self.state.dump())
            return
        with anyio.move_on_after(max(0.0, self.node.next_at - self._clock())):
            await wakeup.wait()

    def _wake(self) -> None:
        self._wakeup.set()

    async def _apply(self, output: Output) -> None:
        if output.restore_state and output.snapshot:
            self._restore(output.snapshot.index, output.snapshot.state)
        for entry in output.committed:
            self.applied_index += 1
            result = await self._apply_entry(entry)
            if pending := self._pending_entries.pop(self.applied_index, None):
                pending.resolve(result if pending.term == entry.term else None)
        for ticket in output.ready_reads:
            self._pending_confirmations.pop(ticket).resolve(True)
        for ticket in output.failed_reads:
            self._pending_confirmations.pop(ticket).resolve(False)

    def _restore(self, index: int, state: bytes) -> None:
        self.state, self.applied_index = KeyValueState(state), index
        for pending_index in [pending for pending in self._pending_entries if pending <= index]:
            self._pending_entries.pop(pending_index).resolve(None)

    async def _apply_entry(self, entry: Entry) -> CompareAndSwapResult | None:
        if entry.kind is EntryKind.DATA:
            return self.state.apply(self.applied_index, entry.data)
        if entry.kind is EntryKind.MEMBERS:
            await self._disk.forget_all_but(self.node.membership.addresses.keys())
        return None

    def _log_role(self) -> None:
        role, leader = self.node.role, self.node.leader
        if (role.value, leader) != self._logged_role and role in (Role.LEADER, Role.FOLLOWER):
            self._logged_role = (role.value, leader)
            log.info(
                "role changed",
                role=role.value,
                leader=leader,
                term=self.node.term,
                applied_index=self.applied_index,
            )

    # Links ----------------------------------------------------------------------------------------

    def _handle_peer_message(self, sender: str, message: Message) -> None:
        self.node.receive(sender, message, self._clock())
        self._wake()

    def _rejection_reason(self, hello: Hello) -> str:
        """The reason to reject a connection with this Hello; empty if it is accepted."""
        roles = (REPLICA_ROLE, OPERATOR_ROLE, *self.link_handlers)
        if reason := handshake_error(hello, self.config.group, roles):
            return reason
        if self._open_links > MAX_LINKS:
            return "too many links"
        if hello.role != REPLICA_ROLE:
            return ""
        return self._peers.rejection_reason(hello, self.node.membership)

    async def _handle_connection(self, stream: anyio.abc.ByteStream) -> None:
        link, hello = Link(stream, self._incomplete_frames), None
        self._open_links += 1
        try:
            hello = await accept_handshake(link, self._welcome, self._rejection_reason)
            await self._serve(link, hello)
        except HandshakeRejectedError as error:
            self._warning("connection rejected", reason=str(error))
        except LINK_ERRORS as error:
            if hello is None or isinstance(error, FrameError):
                reason = str(error) or type(error).__name__
                self._warning(
                    "connection closed after a failed handshake or an invalid message",
                    reason=reason,
                    peer=hello.name[:40] if hello else "",
                )
        except Exception:  # an error in one connection must not stop a voting replica
            log.exception("connection handler failed")
        finally:
            self._open_links -= 1
            await link.close()

    async def _serve(self, link: Link, hello: Hello) -> None:
        if hello.role == REPLICA_ROLE:
            await self._peers.serve(link, hello)
        elif handler := self.link_handlers.get(hello.role):
            await handler(link, hello)
        else:
            await self._rpc.serve(link)

    # Requests of clients and services -------------------------------------------------------------

    async def compare_and_swap(self, swap: CompareAndSwap) -> CompareAndSwapResult:
        """Appends the swap and returns its result once it is committed and applied.

        Raises NotLeaderError or BusyError if nothing was done, CommitUnknownError if it may have been done.
        """
        index, term = self.node.propose(msgspec.msgpack.encode(swap))
        result = await self._await_commit(index, term)
        if result is None:
            raise CommitUnknownError("the leader has changed meanwhile")
        return result

    async def _await_commit(self, index: int, term: int) -> CompareAndSwapResult | None:
        """Waits until the appended entry is applied and returns its result, as PendingEntry describes it."""
        pending = self._pending_entries[index] = PendingEntry(term)
        self._wake()
        try:
            return await pending.wait()
        finally:
            if self._pending_entries.get(index) is pending:
                del self._pending_entries[index]

    async def confirm_leadership(self) -> None:
        """Returns once the applied state is no older than this call.

        Raises NotLeaderError, BusyError or CommitUnknownError if that can't be confirmed.
        """
        self._last_ticket += 1
        ticket, pending = self._last_ticket, PendingConfirmation()
        self.node.request_read(ticket)
        self._pending_confirmations[ticket] = pending
        self._wake()
        if not await pending.wait():
            raise NotLeaderError(self.node.leader)

    async def change_membership(self, change: rpc.ChangeMembership) -> None:
        """Adds learners or removes a member, and returns once an entry is applied at the change's index.

        Raises NotLeaderError or BusyError if nothing was done, CommitUnknownError after a timeout. Does not
        raise if another leader's entry took the index.
        """
        await self.confirm_leadership()  # a new leader rejects membership changes until its first commit
        members = self.node.membership
        for name, address in change.add.items():
            try:
                parse_address(address)
            except ValueError:
                raise BusyError(f"{address[:40]!r} is no address like 127.0.0.1:7300") from None
            if name in members.addresses:
                raise BusyError(f"{name!r} is a member already")
        if change.remove and change.remove not in members.addresses:
            raise BusyError(f"{change.remove!r} is no member")
        voters = {name: address for name, address in members.voters.items() if name != change.remove}
        learners = {name: address for name, address in members.learners.items() if name != change.remove}
        index, term = self.node.change_membership(Membership(voters, learners | change.add))
        await self._await_commit(index, term)

    def status(self) -> rpc.ReplicaStatus:
        """Returns this replica's view of the group without asking the others."""
        node, now = self.node, self._clock()
        timeout_seconds = self.config.election_timeout_seconds
        peers = node.peers.items()
        return rpc.ReplicaStatus(
            name=node.name,
            role=node.role.value,
            leader=node.leader,
            term=node.term,
            commit_index=node.commit_index,
            last_index=node.log.last_index,
            snapshot_index=node.log.snapshot_index,
            voters=node.membership.voters,
            learners=node.membership.learners,
            match_indexes={name: peer.match_index for name, peer in peers},
            silent_peers=sorted(name for name, peer in peers if now - peer.last_contact_at > timeout_seconds),
            stale_peers=node.stale_peers,
            key_count=len(self.state),
            journal_bytes=self._store.size_bytes,
        )

    @property
    def is_leader(self) -> bool:
        """Whether this replica leads in its current term; a later term may have another leader."""
        return self.node.role is Role.LEADER

    def start_leadership_transfer(self) -> None:
        """Starts to transfer the leadership to another replica and returns at once."""
        self.node.transfer_leadership()
        self._wake()

    async def transfer_leadership(self, timeout_seconds: float) -> None:
        """Transfers the leadership before a graceful shutdown.

        Returns once this replica no longer leads, or after `timeout_seconds` if no other one can take over.
        """
        if not self.is_leader:
            return
        self.start_leadership_transfer()
        with anyio.move_on_after(timeout_seconds):
            while self.is_leader:
                await anyio.sleep(self.config.heartbeat_seconds / 2)
