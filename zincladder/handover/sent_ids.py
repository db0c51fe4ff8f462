"""Exchanges between the processes of one front which requests may have run.

Uses the connections of their handover.

Each message is a line:

    sent ID        the request is about to be sent to a cache
    unsent ID      it certainly did not run

A process of a version without these messages reads and ignores them.
"""

from __future__ import annotations

import re
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

SENT, UNSENT = b"sent", b"unsent"
LINE = re.compile(rb"(sent|unsent) ([0-9a-f]{16})", re.ASCII)
READ_BYTES = 1 << 16
MAX_LINE_BYTES = 64
MAX_UNSENT_BYTES = 1 << 18  # a process that takes no more than this is stopped, and is notified no more


class SentRequests(Iterable[str], Protocol):
    """The ids of requests that may have run; times are seconds of the core's clock."""

    on_sent: Callable[[str], None]
    on_unsent: Callable[[str], None]
    poll_others: Callable[[], None]

    def add(self, trace: str, now: float) -> None:
        """Records a request of another process."""

    def discard(self, trace: str) -> None:
        """Forgets a request of another process."""


@dataclass(slots=True, eq=False)
class _OtherProcess:
    sock: socket.socket
    received: bytearray = field(default_factory=bytearray)  # an incomplete line
    unsent: bytearray = field(default_factory=bytearray)


class SentIdExchange:
    """This process's part in the exchange; no call waits."""

    def __init__(self, requests: SentRequests, now: Callable[[], float]) -> None:
        """`now` returns the time on the core's clock."""
        self._requests, self._now = requests, now
        self._others: dict[socket.socket, _OtherProcess] = {}
        requests.on_sent = lambda trace: self._notify(SENT, trace.encode())
        requests.on_unsent = lambda trace: self._notify(UNSENT, trace.encode())
        requests.poll_others = self.poll

    def add(self, sock: socket.socket) -> None:
        """Adds the connection to another process, and notifies it of all requests that may have run."""
        self._others[sock] = other = _OtherProcess(sock)
        for trace in self._requests:
            other.unsent += b"%s %s\n" % (SENT, trace.encode())
        self._flush(other)

    def remove(self, sock: socket.socket) -> None:
        """Removes the connection to a process that has ended."""
        self._others.pop(sock, None)

    def poll(self) -> None:
        """Processes the notifications of all others."""
        for other in list(self._others.values()):
            self.read(other.sock)

    def read(self, sock: socket.socket) -> bool:
        """Processes the notifications of one process; returns False if it has ended."""
        other = self._others[sock]
        while True:
            try:
                data = sock.recv(READ_BYTES)
            except (BlockingIOError, InterruptedError):
                self._flush(other)
                return True
            except OSError:
                return False
            if not data:
                return False
            self._process(other, data)

    def _process(self, other: _OtherProcess, data: bytes) -> None:
        *lines, rest = (bytes(other.received) + data).split(b"\n")
        other.received[:] = rest[-MAX_LINE_BYTES:]
        for line in lines:
            match = LINE.fullmatch(line)
            if match is None:
                continue
            trace = match[2].decode()
            if match[1] == SENT:
                self._requests.add(trace, self._now())
            else:
                self._requests.discard(trace)
            self._notify(match[1], match[2], sender=other)

    def _notify(self, word: bytes, trace: bytes, sender: _OtherProcess | None = None) -> None:
        for other in self._others.values():
            if other is not sender and len(other.unsent) <= MAX_UNSENT_BYTES:
                other.unsent += b"%s %s\n" % (word, trace)
                self._flush(other)

    def _flush(self, other: _OtherProcess) -> None:
        try:
            while other.unsent:
                del other.unsent[: other.sock.send(other.unsent)]
        except OSError:
            pass  # it takes nothing now, or has ended, which its reader notices
