"""A terminal's program: books over an RPC library that repeats a call by itself, through the plug-in.

The library is Thrift's, with the usual loop round a call: if the transport fails, it is opened again and the
same message is sent once more, twice at most.
"""

from __future__ import annotations

import json
import os
import sys
import time

from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TMessageType, TType
from thrift.transport.TTransport import TFramedTransport, TTransportException
from zincladder.plugin.transport import SteeredTransport

RETRIES = 2
RETRY_WAIT_SECONDS = 0.1


class RetryingClient:
    """Calls `handle`, and repeats a call whose transport failed."""

    def __init__(self, transport: TFramedTransport) -> None:
        self._transport = transport
        self._protocol = TBinaryProtocol(transport, strictRead=True, strictWrite=True)
        self._seq = 0

    def call(self, fields: dict[str, str]) -> str:
        self._seq += 1
        for attempt in range(RETRIES + 1):
            try:
                if not self._transport.isOpen():
                    self._transport.open()
                self._send(fields)
                return self._receive()
            except TTransportException as error:
                print(f"call {fields['trace']} attempt {attempt}: {error.type} {error.message}", flush=True)
                self._transport.close()
                if attempt == RETRIES:
                    return "no answer"
                time.sleep(RETRY_WAIT_SECONDS)
        return "no answer"

    def _send(self, fields: dict[str, str]) -> None:
        protocol = self._protocol
        protocol.writeMessageBegin("handle", TMessageType.CALL, self._seq)
        protocol.writeFieldBegin("fields", TType.MAP, 1)
        protocol.writeMapBegin(TType.STRING, TType.STRING, len(fields))
        for name, value in fields.items():
            protocol.writeString(name)
            protocol.writeString(value)
        protocol.writeMapEnd()
        protocol.writeFieldBegin("body", TType.STRING, 2)
        protocol.writeBinary(b"one lorry, ferry of 12:00")
        protocol.writeFieldStop()
        protocol.writeMessageEnd()
        self._transport.flush()

    def _receive(self) -> str:
        protocol = self._protocol
        _, kind, seq = protocol.readMessageBegin()
        assert kind == TMessageType.REPLY and seq == self._seq
        protocol.skip(TType.STRUCT)
        protocol.readMessageEnd()
        return "answered"


def main() -> None:
    """Books the given number of times, one after the other, and prints each result."""
    dns_port, bookings = int(sys.argv[1]), int(sys.argv[2])
    steered = SteeredTransport("booking.main.example.org", ("127.0.0.1", dns_port), deadline=3.0, write=True)
    client = RetryingClient(TFramedTransport(steered))
    for _ in range(bookings):
        trace = os.urandom(8).hex()
        fields = {"route": "booking", "trace": trace, "patience": "3000", "entity": os.urandom(8).hex(),
                  "slice": "0", "set": "17"}  # fmt: skip
        print(json.dumps({"trace": trace, "result": client.call(fields)}), flush=True)


main()
