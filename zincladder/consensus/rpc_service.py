"""Answers the requests of a group's clients: operators' commands and processes that run tasks. Uses anyio."""

from __future__ import annotations

import json
from collections.abc import Callable
from functools import singledispatchmethod
from typing import Protocol

from zincladder.consensus import rpc
from zincladder.consensus.errors import BusyError, CommitUnknownError, NotLeaderError
from zincladder.consensus.key_value_state import CompareAndSwap, CompareAndSwapResult, KeyValueState
from zincladder.consensus.raft import RaftNode
from zincladder.links.connection import Link

MAX_VALUES_BYTES = 900_000  # the values of a response, which has to fit a frame


class Replica(Protocol):
    """The interface of a replica that the service uses."""

    node: RaftNode
    state: KeyValueState
    swap_validators: list[Callable[[CompareAndSwap], str]]
    progress_reporters: list[Callable[[], dict[str, object]]]
    collect_counters: Callable[[], rpc.CollectedCounters]

    @property
    def is_leader(self) -> bool:
        """Whether the replica leads in its current term; a later term may have another leader."""

    def status(self) -> rpc.ReplicaStatus:
        """Returns the replica's view of the group."""

    async def confirm_leadership(self) -> None:
        """Returns once the applied state is no older than this call."""

    async def compare_and_swap(self, swap: CompareAndSwap) -> CompareAndSwapResult:
        """Appends the swap and returns its result once it is committed and applied."""

    async def change_membership(self, change: rpc.ChangeMembership) -> None:
        """Appends the membership change and returns once an entry is applied at its index."""

    def start_leadership_transfer(self) -> None:
        """Starts a leadership transfer and returns at once."""


class RpcService:
    """Answers the requests that reach one replica."""

    def __init__(self, replica: Replica) -> None:
        self._replica = replica

    async def serve(self, link: Link) -> None:
        """Answers the requests of one client in order until its link fails."""
        while True:
            request: rpc.RpcRequest = await link.receive(rpc.RpcRequest)
            response = await self.respond(request.body)
            await link.send(rpc.RpcResponse(request.number, response))

    async def respond(self, body: rpc.RequestBody) -> rpc.ResponseBody:
        """Handles one request. Turns the errors that the replica raises into responses."""
        try:
            return await self._respond(body)
        except NotLeaderError:
            leader = self._replica.node.leader
            return rpc.NotLeader(leader, self._replica.node.membership.addresses.get(leader, ""))
        except BusyError as error:
            return rpc.RequestFailed(str(error))
        except CommitUnknownError as error:
            return rpc.OutcomeUnknown(str(error))

    @singledispatchmethod
    async def _respond(self, body: rpc.RequestBody) -> rpc.ResponseBody:
        raise NotImplementedError(type(body))

    @_respond.register
    async def _(self, body: rpc.GetStatus) -> rpc.ResponseBody:
        return self._replica.status()

    @_respond.register
    async def _(self, body: CompareAndSwap) -> rpc.ResponseBody:
        for validate in self._replica.swap_validators:
            if reason := validate(body):
                return rpc.RequestFailed(reason)
        return await self._replica.compare_and_swap(body)

    @_respond.register
    async def _(self, body: rpc.GetByPrefix) -> rpc.ResponseBody:
        await self._replica.confirm_leadership()
        values = self._replica.state.with_prefix(body.prefix)
        if sum(len(key) + len(value.data) for key, value in values.items()) > MAX_VALUES_BYTES:
            return rpc.RequestFailed(
                f"over {MAX_VALUES_BYTES} bytes under {body.prefix[:40]!r}: ask for less"
            )
        return rpc.ValuesByPrefix(values)

    @_respond.register
    async def _(self, body: rpc.GetProgress) -> rpc.ResponseBody:
        await self._replica.confirm_leadership()
        progress: dict[str, object] = {}
        for reporter in self._replica.progress_reporters:
            progress |= reporter()
        return rpc.ProgressReport(json.dumps(progress).encode())

    @_respond.register
    async def _(self, body: rpc.CollectCounters) -> rpc.ResponseBody:
        await self._replica.confirm_leadership()
        return self._replica.collect_counters()

    @_respond.register
    async def _(self, body: rpc.ChangeMembership) -> rpc.ResponseBody:
        await self._replica.change_membership(body)
        return rpc.Done()

    @_respond.register
    async def _(self, body: rpc.TransferLeadership) -> rpc.ResponseBody:
        if not self._replica.is_leader:
            raise NotLeaderError(self._replica.node.leader)
        self._replica.start_leadership_transfer()
        return rpc.Done()
