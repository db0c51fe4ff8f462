"""What operators ask at the address for them: one line in, one answer out. No I/O here."""

from __future__ import annotations

from collections.abc import Callable, Iterable

MOST_LINE = 256
SHOWN = 20  # characters of a call that is not known

Figures = Iterable[tuple[str, int]]


class Calls:
    """The table of calls. `unready` says why this process is not ready, or nothing."""

    def __init__(self, unready: Callable[[], str], figures: Callable[[], Figures]) -> None:
        self._unready, self._figures = unready, figures

    def answer(self, line: bytes) -> bytes:
        """The answer to one line without its end; whatever comes in, an answer goes out."""
        call = line.strip()
        if call == b"READY":
            why = self._unready()
            return f"FAILURE {why}\n".encode() if why else b"SUCCESS\n"
        if call == b"STATS":
            return "".join(f"app.{name}={value}\n" for name, value in self._figures()).encode() + b"EOT\n"
        shown = call[:SHOWN].decode("ascii", "backslashreplace")
        return f"FAILURE no call {shown!r}, only READY and STATS\n".encode()


class Line:
    """Bytes as they come, until a line is whole."""

    def __init__(self) -> None:
        self._data = bytearray()

    def take(self, data: bytes) -> bytes | None:
        """The line, once it is whole; ValueError for one that is longer than any call."""
        at = len(self._data)
        self._data += data
        end = self._data.find(b"\n", at)
        if (end if end >= 0 else len(self._data)) > MOST_LINE:
            raise ValueError(f"a call of over {MOST_LINE} bytes")
        return bytes(self._data[:end]) if end >= 0 else None
