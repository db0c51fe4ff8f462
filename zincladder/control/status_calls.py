"""The status calls READY and STATS: takes a line and returns its answer. No I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable

MAX_LINE_BYTES = 256
MAX_SHOWN_CALL_BYTES = 20  # an answer repeats the beginning of an unknown call
READY, STATS = b"READY", b"STATS"

Statistics = Iterable[tuple[str, int]]


class StatusCalls:
    """Answers READY, STATS and unknown calls.

    Args:
        missing: Returns why this process is not ready; "" if it is ready.
        statistics: Returns the names and values that STATS lists.
    """

    def __init__(self, missing: Callable[[], str], statistics: Callable[[], Statistics]) -> None:
        self._missing, self._statistics = missing, statistics

    def answer(self, line: bytes) -> bytes:
        """Returns the answer to one line, given without its line end; an unknown call gets FAILURE."""
        call = line.strip()
        if call == READY:
            return self._answer_ready()
        if call == STATS:
            return self._answer_stats()
        shown = call[:MAX_SHOWN_CALL_BYTES].decode("ascii", "backslashreplace")
        return f"FAILURE no call {shown!r}, only READY and STATS\n".encode()

    def _answer_ready(self) -> bytes:
        missing = self._missing()
        return f"FAILURE {missing}\n".encode() if missing else b"SUCCESS\n"

    def _answer_stats(self) -> bytes:
        lines = "".join(f"app.{name}={value}\n" for name, value in self._statistics())
        return lines.encode() + b"EOT\n"


class LineReader:
    """Collects received bytes until the first line is complete."""

    def __init__(self) -> None:
        self._data = bytearray()

    def feed(self, data: bytes) -> bytes | None:
        """Adds received bytes; returns the line without its line end once it is complete, None until then.

        Raises ValueError for a line of more than MAX_LINE_BYTES; the error's text is sent to the operator.
        """
        searched = len(self._data)
        self._data += data
        end = self._data.find(b"\n", searched)
        length = end if end >= 0 else len(self._data)
        if length > MAX_LINE_BYTES:
            raise ValueError(f"a call of over {MAX_LINE_BYTES} bytes")
        return bytes(self._data[:end]) if end >= 0 else None
