"""A terminal's program: asks for freight papers one after the other, through the plug-in and Thrift."""

from __future__ import annotations

import json
import os
import sys
import time

from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TMessageType, TType
from thrift.transport.TTransport import TFramedTransport, TTransportException
from zincladder.plugin.transport import SteeredTransport

CALL_INTERVAL_SECONDS = 0.1


def ask(protocol: TBinaryProtocol, fields: dict[str, str]) -> str:
    """Calls `handle` as the code that Thrift generates does; returns the body of the answer."""
    protocol.writeMessageBegin("handle", TMessageType.CALL, 0)
    protocol.writeFieldBegin("fields", TType.MAP, 1)
    protocol.writeMapBegin(TType.STRING, TType.STRING, len(fields))
    for name, value in fields.items():
        protocol.writeString(name)
        protocol.writeString(value)
    protocol.writeMapEnd()
    protocol.writeFieldStop()
    protocol.writeMessageEnd()
    protocol.trans.flush()
    protocol.readMessageBegin()
    body = ""
    while (field := protocol.readFieldBegin())[1] != TType.STOP:
        assert field[1] == TType.STRUCT
        while (inner := protocol.readFieldBegin())[1] != TType.STOP:
            if inner[1:] == (TType.STRING, 1):
                body = protocol.readBinary().decode()
            else:
                protocol.skip(inner[1])
            protocol.readFieldEnd()
        protocol.readFieldEnd()
    protocol.readMessageEnd()
    return body


def main() -> None:
    """Makes the given number of calls, and prints what each asked for and got."""
    dns_port, calls = int(sys.argv[1]), int(sys.argv[2])
    transport = TFramedTransport(SteeredTransport("papers.main.example.org", ("127.0.0.1", dns_port)))
    protocol = TBinaryProtocol(transport, strictRead=True, strictWrite=True)
    for _ in range(calls):
        entity = os.urandom(8).hex()
        fields = {"route": "page", "trace": os.urandom(8).hex(), "patience": "2500", "entity": entity,
                  "slice": "0", "set": "17"}  # fmt: skip
        try:
            if not transport.isOpen():
                transport.open()
            got = ask(protocol, fields)
        except TTransportException as error:
            transport.close()
            got = f"failed: {error.message}"
        print(json.dumps({"asked": entity, "got": got}), flush=True)
        time.sleep(CALL_INTERVAL_SECONDS)


main()
