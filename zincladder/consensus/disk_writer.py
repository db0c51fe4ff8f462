"""Runs the writes of a replica's store one at a time in worker threads, so the event loop does not block."""

from __future__ import annotations

from collections.abc import Collection

import anyio
import anyio.to_thread

from zincladder.consensus.model import Output
from zincladder.consensus.store import ReplicaStore


class DiskWriter:
    """Writes to the store of one replica. Each method returns once its data is synced to disk.

    After a JournalError the replica has to stop.
    """

    def __init__(self, store: ReplicaStore) -> None:
        self._store = store
        self._lock = anyio.Lock()

    async def write(self, output: Output) -> None:
        """Writes the records of a node's output."""
        if output.has_writes:
            async with self._lock:
                await anyio.to_thread.run_sync(self._store.write, output)

    async def remember_peer(self, name: str, instance_id: str) -> bool:
        """Returns whether `instance_id` is the one recorded for the directory of the member `name`.

        Records it if there is none yet. A replica that lost its directory has lost its vote and its entries,
        so it must not continue under the same name with a new directory.
        """
        if self._store.peer_instances.get(name) == instance_id:
            return True
        async with self._lock:
            return await anyio.to_thread.run_sync(self._store.remember_peer, name, instance_id)

    async def forget_all_but(self, members: Collection[str]) -> None:
        """Deletes the recorded instance ids of replicas that are not in `members`: they were removed."""
        removed = self._store.peer_instances.keys() - members
        async with self._lock:
            for name in removed:
                await anyio.to_thread.run_sync(self._store.forget_peer, name)
