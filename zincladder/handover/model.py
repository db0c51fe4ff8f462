"""The messages of an upgrade and the processes that share a front's limits. No I/O.

The new process sends a `Hello`; the old one answers with its own, and its listening socket goes along as
ancillary data. Nothing else is sent: the end of the connection tells each process that the other has ended.
Later versions may add keys to the message; a change in the meaning of these keys raises VERSION, and
processes of two versions then each listen by themselves.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

VERSION = 1
MAX_HELLO_BYTES = 1024
MAX_OTHER_PROCESSES = 3  # upgrades that may be under way at once


class HelloError(Exception):
    """The message is truncated, or comes from another program, version or front; the text says which."""


@dataclass(frozen=True, slots=True)
class Hello:
    """The sender of a message: the address that it serves as HOST:PORT, and its process id."""

    listen: str
    pid: int

    def encode(self) -> bytes:
        """The message as one line of JSON."""
        fields = {"zincladder": VERSION, "listen": self.listen, "pid": self.pid}
        return json.dumps(fields).encode() + b"\n"


def decode(data: bytes, listen: str) -> Hello:
    """Decode the message of another process of the front at `listen`.

    Raises HelloError for anything else.
    """
    if not data.endswith(b"\n") or len(data) > MAX_HELLO_BYTES:
        raise HelloError(f"{len(data)} bytes that are no whole line")
    try:
        fields = json.loads(data)
        version, peer_listen, pid = fields["zincladder"], fields["listen"], fields["pid"]
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise HelloError(f"not a hello: {type(error).__name__}") from None
    if version != VERSION:
        raise HelloError(f"version {version!r:.20}, not {VERSION}")
    if peer_listen != listen or not isinstance(pid, int) or isinstance(pid, bool):
        raise HelloError(f"a front at {peer_listen!r:.40}, not at {listen}")
    return Hello(peer_listen, pid)


class ProcessGenerations:
    """The other running processes of this front: those that started before this one, and after it."""

    def __init__(self) -> None:
        self._is_newer: dict[int, bool] = {}  # by number
        self._last_number = 0
        self.lost_successor = False  # a newer process, which had taken the rendezvous path, has ended

    def add(self, newer: bool) -> int | None:
        """Count one more process, started before or after this one.

        Returns its number, or None if MAX_OTHER_PROCESSES are running already.
        """
        if len(self._is_newer) >= MAX_OTHER_PROCESSES:
            return None
        self._last_number += 1
        self._is_newer[self._last_number] = newer
        return self._last_number

    def remove(self, number: int) -> None:
        """The process with this number has ended."""
        self.lost_successor |= self._is_newer.pop(number, False)

    @property
    def process_count(self) -> int:
        """All processes that share this front's limits, this one included."""
        return 1 + len(self._is_newer)

    @property
    def has_successor(self) -> bool:
        """Whether a newer process holds the listening socket too, so that its backlog is not lost."""
        return any(self._is_newer.values())
