"""Requests of fronts, workers and operators to a replica, and its responses. Types only."""

from __future__ import annotations

import msgspec

from zincladder.consensus.key_value_state import CompareAndSwap, CompareAndSwapResult, VersionedValue


class GetStatus(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """How the replica that is asked sees the group, whether it leads or not."""


class GetByPrefix(msgspec.Struct, frozen=True, array_like=True, tag="get"):
    """All values whose keys begin so, no older than the request."""

    prefix: str


class ChangeMembership(msgspec.Struct, frozen=True, array_like=True, tag="change"):
    """Adds one member, by its name and address, or removes one."""

    add: dict[str, str] = {}
    remove: str = ""


class TransferLeadership(msgspec.Struct, frozen=True, array_like=True, tag="hand_over"):
    """The leader is to let another replica lead."""


class GetProgress(msgspec.Struct, frozen=True, array_like=True, tag="progress"):
    """How the leader's services for the fleet are getting on."""


class CollectCounters(msgspec.Struct, frozen=True, array_like=True, tag="collect"):
    """The sums of the counters that processes have reported to the leader."""


RequestBody = (
    GetStatus
    | GetByPrefix
    | CompareAndSwap
    | ChangeMembership
    | TransferLeadership
    | GetProgress
    | CollectCounters
)


class RpcRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request; its number comes back with the response."""

    number: int
    body: RequestBody


class ReplicaStatus(msgspec.Struct, frozen=True, array_like=True, tag="standing"):
    """The status of a replica.

    Only a leader fills in `match_indexes` (the last index that each other replica has stored), `silent_peers`
    (those not heard within an election timeout) and `stale_peers` (those on an older directory).
    """

    name: str
    role: str
    leader: str
    term: int
    commit_index: int
    last_index: int
    snapshot_index: int
    voters: dict[str, str]
    learners: dict[str, str]
    match_indexes: dict[str, int]
    silent_peers: list[str]
    stale_peers: list[str]
    key_count: int
    journal_bytes: int


class ValuesByPrefix(msgspec.Struct, frozen=True, array_like=True, tag="found"):
    """The answer to GetByPrefix."""

    values: dict[str, VersionedValue]


class NotLeader(msgspec.Struct, frozen=True, array_like=True, tag="moved"):
    """Nothing was done: another replica leads, or none that is known."""

    leader: str
    address: str


class RequestFailed(msgspec.Struct, frozen=True, array_like=True, tag="failed"):
    """Nothing was done."""

    reason: str


class OutcomeUnknown(msgspec.Struct, frozen=True, array_like=True, tag="unknown"):
    """It may have been done, or may still be: read again to know."""

    reason: str


class ProgressReport(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """The answer to GetProgress, as JSON."""

    data: bytes


class CollectedCounters(msgspec.Struct, frozen=True, array_like=True, tag="collected"):
    """The answer to CollectCounters: sums since the epoch began, which is one leader's term."""

    epoch: str
    totals: dict[str, float]


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """It was done."""


ResponseBody = (
    ReplicaStatus
    | ValuesByPrefix
    | ProgressReport
    | CollectedCounters
    | CompareAndSwapResult
    | NotLeader
    | RequestFailed
    | OutcomeUnknown
    | Done
)


class RpcResponse(msgspec.Struct, frozen=True, array_like=True):
    """The response to the request with this number."""

    number: int
    body: ResponseBody
