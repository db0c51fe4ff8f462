"""Writes of a replica's store, one at a time, in worker threads: the event loop never waits for a disk."""

from __future__ import annotations

from collections.abc import Collection

import anyio
import anyio.to_thread

from zincladder.consensus.model import Output
from zincladder.consensus.store import ReplicaStore


class DiskWriter:
    """Each method returns once the disk has what it wrote. JournalError: the replica has to end."""

    def __init__(self, store: ReplicaStore) -> None:
        self._store = store
        self._lock = anyio.Lock()

    async def write(self, output: Output) -> None:
        """Stores what a node wants to be stored."""
        if output.has_writes:
            async with self._lock:
                await anyio.to_thread.run_sync(self._store.write, output)

    async def remember_peer(self, name: str, instance_id: str) -> bool:
        """Whether the member's directory is the one that is known under its name; the first one counts.

        Guards votes: a replica that lost its directory has forgotten whom it voted for, and what it stored.
        """
        if self._store.peer_instances.get(name) == instance_id:
            return True
        async with self._lock:
            return await anyio.to_thread.run_sync(self._store.remember_peer, name, instance_id)

    async def forget_all_but(self, members: Collection[str]) -> None:
        """Forgets the directories of replicas that were removed from the group."""
        removed = self._store.peer_instances.keys() - members
        async with self._lock:
            for name in removed:
                await anyio.to_thread.run_sync(self._store.forget_peer, name)
