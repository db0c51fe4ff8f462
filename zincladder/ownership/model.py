"""What a duty is, and what workers and keepers say to each other about it. Shapes only; times in seconds.

A duty is a piece of work that at most one process of the fleet does. The register `duty/NAME` names its
owner; the version of that register is the owner's fencing token: it is the place of the entry that made it
the owner in the group's log, so it only rises and is never given twice, whatever becomes of a keeper.
"""

from __future__ import annotations

import msgspec

from zincladder.consensus.key_value_state import CompareAndSwap, VersionGuard

DUTIES = "duty/"
PROGRESS = "progress/"  # what an owner has done, kept for whoever follows
MOST_DUTIES = 64
MOST_WORKERS = 2048
MOST_NAME = 40


class Duty(msgspec.Struct, frozen=True, array_like=True):
    """The register's value. No owner: it was given back, moved, or never taken."""

    owner: str = ""  # the worker's name
    process: str = ""  # and which of its processes
    at: float = 0.0  # Unix time at which it was taken or left
    paused: bool = False  # nobody is to take it
    wish: str = ""  # the worker that is to take it next, if it wants to
    left: str = ""  # why nobody owns it


def key(duty: str) -> str:
    return DUTIES + duty


def progress_key(duty: str) -> str:
    return PROGRESS + duty


def checkpoint(duty: str, token: int, expected: int, data: bytes) -> CompareAndSwap:
    """Keeps an owner's progress, if it still is the owner when the entry is applied: the fence in the log."""
    return CompareAndSwap(progress_key(duty), expected, data, VersionGuard(key(duty), token))


# From a worker -------------------------------------------------------------------------------------


class Wants(msgspec.Struct, frozen=True, array_like=True, tag="wants"):
    """The duties that this process would take; none when it is about to end."""

    duties: tuple[str, ...]


class Keeps(msgspec.Struct, frozen=True, array_like=True, tag="keeps"):
    """Asks for a lease on what it owns: duties with their tokens."""

    serial: int
    held: tuple[tuple[str, int], ...]


class GivesBack(msgspec.Struct, frozen=True, array_like=True, tag="gives_back"):
    """It does nothing more under this token, and takes no lease on it that it asked for."""

    duty: str
    token: int


class Tells(msgspec.Struct, frozen=True, array_like=True, tag="tells"):
    """Counters of this process since its start, for whoever sums them."""

    counters: dict[str, float]


FromWorker = Wants | Keeps | GivesBack | Tells

# From a keeper -------------------------------------------------------------------------------------


class Yours(msgspec.Struct, frozen=True, array_like=True, tag="yours"):
    """This process owns a duty, once it has a lease on it."""

    duty: str
    token: int


class Lent(msgspec.Struct, frozen=True, array_like=True, tag="lent"):
    """The lease that was asked for with this serial; what was asked for and is not named is lost."""

    serial: int
    held: tuple[tuple[str, int], ...]
    believed: float
    renew: float


class Stop(msgspec.Struct, frozen=True, array_like=True, tag="stop"):
    """Asks an owner to give a duty back now."""

    duty: str
    token: int


class Elsewhere(msgspec.Struct, frozen=True, array_like=True, tag="elsewhere"):
    """This keeper does not lead."""

    leader: str


FromKeeper = Yours | Lent | Stop | Elsewhere
