"""Sends one request to the example front with Apache Thrift's own library and prints the kind of its answer.

A served answer's body is printed too. The argument is the request class, by default `page`.
"""

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
    _, field_type, field_id = protocol.readFieldBegin()
    print(("served", "refused", "failed")[field_id] if field_type == TType.STRUCT else "not understood")
    if field_id == 0:
        protocol.readFieldBegin()
        print(protocol.readBinary().decode(), end="")
    transport.close()


if __name__ == "__main__":
    main(*sys.argv[1:])
