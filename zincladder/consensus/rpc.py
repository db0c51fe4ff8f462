"""The requests that clients send to a replica, and its responses. Types only."""

from __future__ import annotations

import msgspec

from zincladder.consensus.key_value_state import CompareAndSwap, CompareAndSwapResult, VersionedValue


class GetStatus(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """Asks a replica for its own view of the group, whether it leads or not."""


class GetByPrefix(msgspec.Struct, frozen=True, array_like=True, tag="get"):
    """Asks for all values whose keys begin with `prefix`, as they are at the time of the request or later."""

    prefix: str


class ChangeMembership(msgspec.Struct, frozen=True, array_like=True, tag="change"):
    """Adds the members in `add` (addresses by name) as learners, and removes the member `remove`, if any."""

    add: dict[str, str] = {}
    remove: str = ""


class TransferLeadership(msgspec.Struct, frozen=True, array_like=True, tag="hand_over"):
    """Asks the leader to transfer its leadership to another replica."""


class GetProgress(msgspec.Struct, frozen=True, array_like=True, tag="progress"):
    """Asks for the progress of the services that the leader runs."""


class CollectCounters(msgspec.Struct, frozen=True, array_like=True, tag="collect"):
    """Asks for the sums of the counters that processes have reported to the leader."""


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
    """A request. Its response carries the same number."""

    number: int
    body: RequestBody


class ReplicaStatus(msgspec.Struct, frozen=True, array_like=True, tag="standing"):
    """The status of a replica.

    Three fields are filled in by a leader only: `match_indexes` (the last index that each other replica is
    known to store), `silent_peers` (replicas that have not responded within the election timeout) and
    `stale_peers` (replicas that run on an older copy of their directory).
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
    """The response to GetByPrefix."""

    values: dict[str, VersionedValue]


class NotLeader(msgspec.Struct, frozen=True, array_like=True, tag="moved"):
    """Nothing was done: another replica leads. Its name and address are empty if no leader is known."""

    leader: str
    address: str


class RequestFailed(msgspec.Struct, frozen=True, array_like=True, tag="failed"):
    """Nothing was done, for the given reason."""

    reason: str


class OutcomeUnknown(msgspec.Struct, frozen=True, array_like=True, tag="unknown"):
    """The request may have been done, or may still be done. The client has to read the state to find out."""

    reason: str


class ProgressReport(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """The response to GetProgress, as JSON."""

    data: bytes


class CollectedCounters(msgspec.Struct, frozen=True, array_like=True, tag="collected"):
    """The response to CollectCounters: the sums since the epoch began. An epoch is one leader's term."""

    epoch: str
    totals: dict[str, float]


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """The request was done; for TransferLeadership, the transfer was started."""


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
