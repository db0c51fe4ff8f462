"""Links between the replicas of a group: each replica connects to every other one. Uses anyio."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.abc
import structlog

from zincladder.config import parse_address
from zincladder.config.replica import ReplicaConfig
from zincladder.consensus.disk_writer import DiskWriter
from zincladder.consensus.model import Membership, Message
from zincladder.consensus.store import ReplicaStore
from zincladder.durable.errors import JournalError
from zincladder.links.connection import LINK_ERRORS, Link, ReconnectBackoff, SendQueue
from zincladder.links.dialer import Dialer
from zincladder.links.errors import HandshakeRejectedError
from zincladder.links.frames import VERSION, Hello, Welcome
from zincladder.support.rate_limited_log import RateLimitedLog

REPLICA_ROLE = "keeper"  # the role in the Hello of a replica; part of the link protocol
MAX_UNCONFIRMED_PEERS = 16  # replicas that a new replica accepts before it knows the group's members
MAX_QUEUED_MESSAGES_PER_MEMBER = 256
OTHER_DIRECTORY_REASON = "its directory is not the one that {}; remove it and add it anew"
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class DialedPeer:
    """A member that this replica connects to: its address, its task's scope and the queue of messages."""

    address: str
    scope: anyio.CancelScope
    queue: SendQueue


class PeerLinks:
    """The links of one replica to the others. `on_message` is called with each message and its sender."""

    def __init__(
        self,
        config: ReplicaConfig,
        store: ReplicaStore,
        disk: DiskWriter,
        on_message: Callable[[str, Message], None],
        random_fraction: Callable[[], float],
    ) -> None:
        self._config, self._store, self._disk = config, store, disk
        self._on_message, self._random_fraction = on_message, random_fraction
        self._hello = Hello(VERSION, config.group, REPLICA_ROLE, config.name, store.identity.instance_id)
        self._dialed: dict[str, DialedPeer] = {}
        # Queues to members that have connected to this replica. A new replica has no addresses of members
        # yet, so it can send over these links only.
        # For a moment there may be several, of which the last one that is open is used.
        self._accepted_queues: dict[str, list[SendQueue]] = {}
        self._membership = Membership({})  # the membership of the latest `dial`
        self._rate_limited_log = RateLimitedLog()

    def send(self, to: str, message: Message) -> None:
        """Queues a message to a member; drops it if this replica neither dials it nor has a link from it."""
        dialed = self._dialed.get(to)
        if dialed is not None:
            dialed.queue.put(message)
        elif accepted := self._accepted_queues.get(to):
            accepted[-1].put(message)

    def dial(self, membership: Membership, tasks: anyio.abc.TaskGroup) -> None:
        """Starts links to new members, and ends links to members that were removed or have a new address."""
        if membership is self._membership:
            return
        self._membership = membership
        overrides = self._config.address_overrides
        wanted = {name: overrides.get(name, address) for name, address in membership.addresses.items()}
        wanted.pop(self._config.name, None)
        for name, peer in list(self._dialed.items()):
            if wanted.get(name) != peer.address:
                peer.scope.cancel()
                del self._dialed[name]
        for name, address in wanted.items():
            if name not in self._dialed:
                peer = DialedPeer(address, anyio.CancelScope(), SendQueue(MAX_QUEUED_MESSAGES_PER_MEMBER))
                self._dialed[name] = peer
                tasks.start_soon(self._maintain_link, name, peer)

    async def _maintain_link(self, name: str, peer: DialedPeer) -> None:
        with peer.scope:
            async with Dialer(self._hello) as dialer:
                await self._dial_until_cancelled(name, peer, dialer)

    async def _dial_until_cancelled(self, name: str, peer: DialedPeer, dialer: Dialer) -> None:
        backoff, last_reason = ReconnectBackoff(self._random_fraction), ""
        while True:
            try:
                _, link, welcome = await dialer.connect(name, parse_address(peer.address))
                try:
                    await self._check_welcome(name, welcome)
                    backoff.reset()
                    last_reason = ""
                    await self._run_link(link, name, peer.queue)
                finally:
                    await link.close()
            except* HandshakeRejectedError as errors:
                reason = str(errors.exceptions[0])
                if reason != last_reason:  # logs a repeated reason only once
                    last_reason = reason
                    log.error("connection to another replica rejected", replica=name, reason=reason)
            except* LINK_ERRORS:
                pass
            except* JournalError:
                raise  # a replica that cannot write must stop
            except* Exception:  # an error over one message must not stop a voting replica
                self._rate_limited_log.exception("link to another replica failed", replica=name)
            await anyio.sleep(backoff.next_seconds())

    async def _run_link(self, link: Link, name: str, queue: SendQueue) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(queue.send_to, link)
            await self._receive(link, name)

    async def _receive(self, link: Link, name: str) -> None:
        while True:
            message = await link.receive(Message)
            if self._store.peer_instances.get(name) is None:
                raise HandshakeRejectedError(f"{name!r} is no longer a member of the group")
            self._on_message(name, message)

    async def _check_welcome(self, name: str, welcome: Welcome) -> None:
        if welcome.name != name:
            raise HandshakeRejectedError(f"the replica at this address is named {welcome.name[:40]!r}")
        if not await self._disk.remember_peer(name, welcome.instance_id):
            raise HandshakeRejectedError(OTHER_DIRECTORY_REASON.format("this replica knows"))

    def rejection_reason(self, hello: Hello, membership: Membership) -> str:
        """The reason to reject a replica that connects with this Hello; empty if it is accepted."""
        members, known_instances = membership.addresses, self._store.peer_instances
        if members and hello.name not in members:
            return f"{hello.name!r} is no member"
        if (
            not members
            and len(known_instances) >= MAX_UNCONFIRMED_PEERS
            and hello.name not in known_instances
        ):
            return "too many replicas before the group's members are known"
        if hello.name == self._config.name:
            return f"{hello.name!r} is this replica's own name"
        if known_instances.get(hello.name, hello.instance_id) != hello.instance_id:
            return OTHER_DIRECTORY_REASON.format("was known under this name")
        return ""

    async def serve(self, link: Link, hello: Hello) -> None:
        """Serves the link of a replica that has connected to this one, until the link fails."""
        if not await self._disk.remember_peer(hello.name, hello.instance_id):
            return
        queue = SendQueue(MAX_QUEUED_MESSAGES_PER_MEMBER)
        self._accepted_queues.setdefault(hello.name, []).append(queue)
        try:
            await self._run_link(link, hello.name, queue)
        except* HandshakeRejectedError as errors:
            self._rate_limited_log.warning("connection rejected", reason=str(errors.exceptions[0]))
        except* LINK_ERRORS:
            pass
        finally:
            accepted = self._accepted_queues[hello.name]
            accepted.remove(queue)
            if not accepted:
                del self._accepted_queues[hello.name]
