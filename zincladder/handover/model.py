"""The messages of an upgrade, and the count of the processes of one front. No I/O.

The new process sends a `Hello`. The old process answers with its own `Hello`, with its listening socket as
ancillary data. Nothing else is sent, but the connection stays open: its end shows each process that the other
has ended. Later versions may add keys to the message. A change in the meaning of a key requires a higher
VERSION; processes of different versions do not pass their listening sockets, and each opens its own.
"""

from __future__ import annotations

import json
from dataclasses import dataclass

VERSION = 1
MAX_HELLO_BYTES = 1024
MAX_OTHER_PROCESSES = 3  # allows for upgrades that start before the previous one is complete


class HelloError(Exception):
    """A message is truncated, or was sent by another program, version or front; the text says which."""


@dataclass(frozen=True, slots=True)
class Hello:
    """The message: the address that its sender serves, as HOST:PORT, and the sender's process id."""

    listen: str
    pid: int

    def encode(self) -> bytes:
        """Returns the message as one line of JSON."""
        fields = {"zincladder": VERSION, "listen": self.listen, "pid": self.pid}
        return json.dumps(fields).encode() + b"\n"


def decode(data: bytes, listen: str) -> Hello:
    """Decodes the message of another process of the front at `listen`.

    Raises HelloError if it is not a valid message of such a process.
    """
    if not data.endswith(b"\n") or len(data) > MAX_HELLO_BYTES:
        raise HelloError(f"hello of {len(data)} bytes is truncated or too long")
    try:
        fields = json.loads(data)
        version, peer_listen, pid = fields["zincladder"], fields["listen"], fields["pid"]
    except (ValueError, KeyError, TypeError, RecursionError) as error:
        raise HelloError(f"hello cannot be decoded: {type(error).__name__}") from None
    if version != VERSION:
        raise HelloError(f"hello has version {version!r:.20}, expected {VERSION}")
    if peer_listen != listen or not isinstance(pid, int) or isinstance(pid, bool):
        raise HelloError(f"hello names the front {peer_listen!r:.40}, expected {listen} and a process id")
    return Hello(peer_listen, pid)


class ProcessGenerations:
    """The other running processes of this front, which started before or after this one."""

    def __init__(self) -> None:
        self._is_newer: dict[int, bool] = {}  # whether a process started after this one, by its number
        self._last_number = 0
        self.lost_successor = False  # a newer process, which had replaced the rendezvous path, has ended

    def add(self, newer: bool) -> int | None:
        """Adds a process that started before this one or, if `newer`, after it.

        Returns its number, or None if MAX_OTHER_PROCESSES other processes are running already.
        """
        if len(self._is_newer) >= MAX_OTHER_PROCESSES:
            return None
        self._last_number += 1
        self._is_newer[self._last_number] = newer
        return self._last_number

    def remove(self, number: int) -> None:
        """Removes the process with this number, which has ended."""
        self.lost_successor |= self._is_newer.pop(number, False)

    @property
    def process_count(self) -> int:
        """The number of processes that share this front's limits, including this one."""
        return 1 + len(self._is_newer)

    @property
    def has_successor(self) -> bool:
        """Whether a newer process shares the listening socket and accepts the connections in its backlog."""
        return any(self._is_newer.values())
