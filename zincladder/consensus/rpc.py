"""What fronts and operators ask of a keeper over a link, and what they are told. Shapes only."""

from __future__ import annotations

import msgspec

from zincladder.consensus.key_value_state import (
    CapacityExceeded,
    CompareAndSwap,
    FencingTokenRejected,
    Swapped,
    VersionedValue,
    VersionMismatch,
)


class GetStatus(msgspec.Struct, frozen=True, array_like=True, tag="status"):
    """How this keeper stands; answered by whoever is asked, from what it knows."""


class GetByPrefix(msgspec.Struct, frozen=True, array_like=True, tag="get"):
    """All registers whose keys begin so, no older than the question."""

    prefix: str


class ChangeMembership(msgspec.Struct, frozen=True, array_like=True, tag="change"):
    """One member added, with its address, or removed."""

    add: dict[str, str] = {}
    remove: str = ""


class TransferLeadership(msgspec.Struct, frozen=True, array_like=True, tag="hand_over"):
    """The leader is to let another lead."""


class GetProgress(msgspec.Struct, frozen=True, array_like=True, tag="progress"):
    """How the work that the leader does for the fleet is coming on."""


class CollectCounters(msgspec.Struct, frozen=True, array_like=True, tag="collect"):
    """The sums of what processes have told the leader."""


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
    """A question; its number comes back with the answer."""

    number: int
    what: RequestBody


class ReplicaStatus(msgspec.Struct, frozen=True, array_like=True, tag="standing"):
    """How a keeper stands. A leader also tells what each other one has stored, and who is silent."""

    name: str
    role: str
    leader: str
    term: int
    commit: int
    last: int
    base: int
    voters: dict[str, str]
    learners: dict[str, str]
    stored: dict[str, int]
    silent: list[str]
    older: list[str]
    registers: int
    bytes_kept: int


class ValuesByPrefix(msgspec.Struct, frozen=True, array_like=True, tag="found"):
    """The answer to `Get`."""

    values: dict[str, VersionedValue]


class NotLeader(msgspec.Struct, frozen=True, array_like=True, tag="moved"):
    """Another leads, or nobody that is known: nothing was done."""

    leader: str
    where: str


class RequestFailed(msgspec.Struct, frozen=True, array_like=True, tag="failed"):
    """Nothing was done; the text says why."""

    why: str


class OutcomeUnknown(msgspec.Struct, frozen=True, array_like=True, tag="unknown"):
    """It may have been done, or may still be: read again to know."""

    why: str


class ProgressReport(msgspec.Struct, frozen=True, array_like=True, tag="told"):
    """The answer to `Progress`: JSON."""

    data: bytes


class CollectedCounters(msgspec.Struct, frozen=True, array_like=True, tag="collected"):
    """The answer to `Collect`: sums since the epoch began, which is one leader's in one term."""

    epoch: str
    totals: dict[str, float]


class Done(msgspec.Struct, frozen=True, array_like=True, tag="done"):
    """It was done."""


ResponseBody = (
    ReplicaStatus
    | ValuesByPrefix
    | ProgressReport
    | CollectedCounters
    | Swapped
    | VersionMismatch
    | CapacityExceeded
    | FencingTokenRejected
    | NotLeader
    | RequestFailed
    | OutcomeUnknown
    | Done
)


class RpcResponse(msgspec.Struct, frozen=True, array_like=True):
    """The answer to the call with this number."""

    number: int
    what: ResponseBody
