"""The stdin/stdout loop: one Router an instance, nothing shared between them."""

from __future__ import annotations

import sys
from typing import BinaryIO

from zincladder.routing.router import Router
from zincladder.simulator import wire


def _fault(error: Exception) -> str:
    where = ""
    trace = error.__traceback__
    while trace is not None:
        where = f"{trace.tb_frame.f_code.co_name}:{trace.tb_lineno}"
        trace = trace.tb_next
    return f"{type(error).__name__} in {where}: {error}"


class Host:
    """Hosts the instances of one process."""

    def __init__(self) -> None:
        self.routers: dict[int, Router] = {}

    def reply(self, batch: wire.Batch) -> bytes:
        """The reply frame. A fault in one Router is reported for its instance, and it is dropped."""
        out: list[bytes] = []
        for record in batch.records:
            i = record.instance
            try:
                if isinstance(record, wire.Born):
                    self.routers[i] = Router(record.settings, record.seed)
                elif isinstance(record, wire.Halted):
                    self.routers.pop(i, None)
                elif i in self.routers:
                    actions = self.routers[i].handle(record.event, batch.clock)
                    out.extend(wire.encode_action(i, action) for action in actions)
            except Exception as error:
                self.routers.pop(i, None)
                out.append(wire.encode_broken(i, _fault(error)))
        return wire.encode_reply(batch.number, b"".join(out))


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
