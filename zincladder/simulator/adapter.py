"""Runs routers for the simulator over stdin and stdout: one Router per instance, with no shared state."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import BinaryIO

from zincladder.routing.router import Router
from zincladder.simulator import wire


class RouterHost:
    """The routers of all simulated instances that run in this process."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def reply(self, batch: wire.Batch) -> bytes:
        """Returns the reply frame to a batch.

        If the router of an instance raises an exception, the instance is reported as failed and removed.
        """
        records: list[bytes] = []
        for record in batch.records:
            try:
                records.extend(self._answer(record, batch.clock))
            except Exception as error:
                self.routers.pop(record.instance, None)
                records.append(wire.encode_instance_failed(record.instance, _describe(error)))
        return wire.encode_reply(batch.number, b"".join(records))

    def _answer(self, record: wire.Record, now: float) -> Iterator[bytes]:
        """Yields the records that answer one record; none if its instance is not running."""
        instance = record.instance
        match record:
            case wire.InstanceStarted():
                self.routers[instance] = Router(record.settings, record.seed)
            case wire.InstanceStopped():
                self.routers.pop(instance, None)
            case wire.RouterEvent() if instance in self.routers:
                actions = self.routers[instance].handle(record.event, now)
                yield from (wire.encode_action(instance, action) for action in actions)


def _describe(error: Exception) -> str:
    """Returns the type and text of an error, with the function and line that raised it."""
    location = ""
    trace = error.__traceback__
    while trace is not None:
        location = f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}"
        trace = trace.tb_next
    return f"{type(error).__name__} in {location}: {error}"


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends.

    Raises `WireError` if the input is malformed.
    """
    host = RouterHost()
    for batch in wire.read_batches(source):
        sink.write(host.reply(batch))
        sink.flush()


def main() -> int:
    """Runs the process; returns exit status 0 at the end of input and 2 on malformed input."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"zincladder: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
