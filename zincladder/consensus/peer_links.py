"""Links between the replicas of a group: one that each replica dials to each other one. On anyio."""

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
from zincladder.links.connection import LINK_ERRORS, Link, ReconnectBackoff, SendQueue, connect
from zincladder.links.errors import HandshakeRejectedError
from zincladder.links.frames import VERSION, Hello, Welcome
from zincladder.support.rate_limited_log import RateLimitedLog

REPLICA_ROLE = "keeper"  # in a greeting
MAX_UNCONFIRMED_PEERS = 16  # replicas that one which is being added accepts before it knows the members
MAX_QUEUED_MESSAGES = 256  # to one member
OTHER_DIRECTORY = "its directory is not the one that {}; remove it and add it anew"
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class DialedPeer:
    """A member that this replica dials: its address, and the queue of messages to it."""

    address: str
    scope: anyio.CancelScope
    queue: SendQueue


class PeerLinks:
    """The links of one replica to the others. `received` is called with each message and its sender."""

    def __init__(
        self,
        config: ReplicaConfig,
        store: ReplicaStore,
        disk: DiskWriter,
        received: Callable[[str, Message], None],
        draw: Callable[[], float],
    ) -> None:
        self._config, self._store, self._disk = config, store, disk
        self._received, self._draw = received, draw
        self._hello = Hello(VERSION, config.group, REPLICA_ROLE, config.name, store.identity.instance_id)
        self._dialed: dict[str, DialedPeer] = {}
        # For members that this replica can't dial: one that is being added knows no addresses yet.
        self._accepted: dict[str, SendQueue] = {}
        self._membership = Membership({})  # the one that is dialed
        self._warning = RateLimitedLog().warning

    def send(self, to: str, message: Message) -> None:
        """Queues a message; dropped where there is no link to that member."""
        dialed = self._dialed.get(to)
        queue = dialed.queue if dialed else self._accepted.get(to)
        if queue is not None:
            queue.put(message)

    def dial(self, membership: Membership, tasks: anyio.abc.TaskGroup) -> None:
        """Keeps one task for each other member; those for members that are gone, or have moved, end."""
        if membership is self._membership:
            return
        self._membership = membership
        overrides = self._config.address_overrides
        wanted = {name: overrides.get(name, place) for name, place in membership.addresses.items()}
        wanted.pop(self._config.name, None)
        for name, peer in list(self._dialed.items()):
            if wanted.get(name) != peer.address:
                peer.scope.cancel()
                del self._dialed[name]
        for name, place in wanted.items():
            if name not in self._dialed:
                peer = DialedPeer(place, anyio.CancelScope(), SendQueue(MAX_QUEUED_MESSAGES))
                self._dialed[name] = peer
                tasks.start_soon(self._keep_linked, name, peer)

    async def _keep_linked(self, name: str, peer: DialedPeer) -> None:
        backoff, last_reason = ReconnectBackoff(self._draw), ""
        with peer.scope:
            while True:
                try:
                    link, welcome = await connect(parse_address(peer.address), self._hello)
                    try:
                        await self._check_welcome(name, welcome)
                        backoff.reset()
                        last_reason = ""
                        await self._exchange(link, name, peer.queue)
                    finally:
                        await link.close()
                except* HandshakeRejectedError as errors:
                    reason = str(errors.exceptions[0])
                    if reason != last_reason:  # once for each reason, however often it is tried
                        last_reason = reason
                        log.error("rejected by another replica", replica=name, reason=reason)
                except* LINK_ERRORS:
                    pass
                await anyio.sleep(backoff.next_seconds())

    async def _exchange(self, link: Link, name: str, queue: SendQueue) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(queue.send_to, link)
            await self._receive(link, name)

    async def _receive(self, link: Link, name: str) -> None:
        while True:
            message = await link.receive(Message)
            if self._store.peer_instances.get(name) is None:
                raise HandshakeRejectedError(f"{name!r} is no member any more")
            self._received(name, message)

    async def _check_welcome(self, name: str, welcome: Welcome) -> None:
        if welcome.name != name:
            raise HandshakeRejectedError(f"it is {welcome.name[:40]!r}")
        if not await self._disk.remember_peer(name, welcome.instance_id):
            raise HandshakeRejectedError(OTHER_DIRECTORY.format("this replica knows"))

    def rejection(self, hello: Hello, membership: Membership) -> str:
        """Why a replica that greets so can't be linked; empty if it can."""
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
            return OTHER_DIRECTORY.format("was known under this name")
        return ""

    async def serve(self, link: Link, hello: Hello) -> None:
        """The link of a replica that has dialed this one, until it fails."""
        if not await self._disk.remember_peer(hello.name, hello.instance_id):
            return
        queue = self._accepted[hello.name] = SendQueue(MAX_QUEUED_MESSAGES)
        try:
            await self._exchange(link, hello.name, queue)
        except* HandshakeRejectedError as errors:
            self._warning("link rejected", reason=str(errors.exceptions[0]))
        except* LINK_ERRORS:
            pass
        finally:
            if self._accepted.get(hello.name) is queue:
                del self._accepted[hello.name]
