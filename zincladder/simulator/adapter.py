"""Answers the simulator on stdin and stdout: one Router for each instance, nothing shared between them."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import BinaryIO

from zincladder.routing.router import Router
from zincladder.simulator import wire


class Host:
    """The routers of the instances that run in one process."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def reply(self, batch: wire.Batch) -> bytes:
        """The reply frame to a batch. An instance whose router raises is reported as broken and dropped."""
        records: list[bytes] = []
        for record in batch.records:
            try:
                records.extend(self._answer(record, batch.clock))
            except Exception as error:
                self.routers.pop(record.instance, None)
                records.append(wire.encode_broken(record.instance, _describe(error)))
        return wire.encode_reply(batch.number, b"".join(records))

    def _answer(self, record: wire.Record, now: float) -> Iterator[bytes]:
        """The records that answer one; none for an instance that does not run."""
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
    """The error with the innermost function and line that raised it."""
    where = ""
    trace = error.__traceback__
    while trace is not None:
        where = f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}"
        trace = trace.tb_next
    return f"{type(error).__name__} in {where}: {error}"


def run(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers batches until the input ends."""
    host = Host()
    for batch in wire.read_batches(source):
        sink.write(host.reply(batch))
        sink.flush()


def main() -> int:
    """The process: 0 at the end of input, 2 on input that is not the protocol."""
    try:
        run(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"zincladder: malformed input: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
