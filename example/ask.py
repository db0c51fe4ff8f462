"""Asks the example front for an object and for its status, with Apache Thrift's own library."""

from __future__ import annotations

import secrets
import sys

from thrift.protocol.TBinaryProtocol import TBinaryProtocol
from thrift.Thrift import TMessageType, TType
from thrift.transport.TSocket import TSocket
from thrift.transport.TTransport import TFramedTransport


def main(route: str = "page") -> None:
    transport = TFramedTransport(TSocket("127.0.0.1", 8080))
    protocol = TBinaryProtocol(transport, strictRead=True, strictWrite=True)
    transport.open()
    fields = {"route": route, "trace": secrets.token_hex(8), "patience": "2000", "entity": "7f3a9c21e0b4d655",
              "slice": "0", "set": "17"}  # fmt: skip
    protocol.writeMessageBegin("handle", TMessageType.CALL, 1)
    protocol.writeFieldBegin("fields", TType.MAP, 1)
    protocol.writeMapBegin(TType.STRING, TType.STRING, len(fields))
    for name, value in fields.items():
        protocol.writeString(name)
        protocol.writeString(value)
    protocol.writeFieldBegin("body", TType.STRING, 2)
    protocol.writeBinary(b"an order" if route == "booking" else b"")
    protocol.writeFieldStop()
    transport.flush()
    protocol.readMessageBegin()
    _, kind, number = protocol.readFieldBegin()
    print(("served", "refused", "failed")[number] if kind == TType.STRUCT else "not understood")
    if number == 0:
        protocol.readFieldBegin()
        print(protocol.readBinary().decode(), end="")
    transport.close()


if __name__ == "__main__":
    main(*sys.argv[1:])
