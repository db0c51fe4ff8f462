"""What the two processes of an upgrade say to each other, and what each may hold. No I/O here.

The newcomer says hello and the old one answers in kind, with its listening socket beside the bytes. After
that nothing is said: the end of the connection tells each that the other has gone. Later versions may add
keys; what changes the meaning of these raises VERSION, and processes of two versions then listen each for
itself.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

VERSION = 1
MOST_HELLO = 1024
MOST_COMPANIONS = 3  # upgrades that may be under way at once


class Foreign(Exception):
    """What came is torn, or of another program or version; the text says why."""


@dataclass(frozen=True, slots=True)
class Hello:
    """Who speaks: the address that it serves, and its process."""

    listen: str
    pid: int

    def encode(self) -> bytes:
        said = {"zincladder": VERSION, "listen": self.listen, "pid": self.pid}
        return json.dumps(said).encode() + b"\n"


def decode(data: bytes, listen: str) -> Hello:
    """The hello of another process of the front at `listen`."""
    if not data.endswith(b"\n") or len(data) > MOST_HELLO:
        raise Foreign(f"{len(data)} bytes that are no whole line")
    try:
        said = json.loads(data)
        version, where, pid = said["zincladder"], said["listen"], said["pid"]
    except (ValueError, KeyError, TypeError, RecursionError) as fault:
        raise Foreign(f"not a hello: {type(fault).__name__}") from None
    if version != VERSION:
        raise Foreign(f"version {version!r:.20}, not {VERSION}")
    if where != listen or not isinstance(pid, int) or isinstance(pid, bool):
        raise Foreign(f"a front at {where!r:.40}, not at {listen}")
    return Hello(where, pid)


class Companions:
    """The other processes of this front that are alive."""

    def __init__(self) -> None:
        self._alive: dict[int, bool] = {}  # by number; whether it came after this process
        self._count = 0
        self.bereft = False  # a newer process, which had the meeting place, is gone again

    def came(self, newer: bool) -> int | None:
        """One more; its number, or None where there are too many already."""
        if len(self._alive) >= MOST_COMPANIONS:
            return None
        self._count += 1
        self._alive[self._count] = newer
        return self._count

    def left(self, number: int) -> None:
        self.bereft |= self._alive.pop(number, False)

    @property
    def processes(self) -> int:
        """All that share this front's limits, this one among them."""
        return 1 + len(self._alive)

    @property
    def succeeded(self) -> bool:
        """Whether a newer process holds the listening socket: what waits in its queue is not lost."""
        return any(self._alive.values())
