"""Source keys: an address or the network around it, encoded as one integer.

The low byte of a key is its kind; the bits above it are the address's or network's prefix. Integers are used
because hashing and shifting one costs far less than handling an address object for every connection of a
flood.
"""

from __future__ import annotations

import socket
import struct

# Kinds of keys (the low byte), named after IP version and prefix length; V4 is a single IPv4 address.
V4, V4_24, V4_16, V6_64, V6_48 = 1, 2, 3, 4, 5
V4_KINDS = (V4, V4_24, V4_16)
KIND_BITS = 8
KIND_MASK = 0xFF
PREFIX_LENGTH = {V4: 32, V4_24: 24, V4_16: 16, V6_64: 64, V6_48: 48}
# For each kind, the kind of the next larger network and by how many bits the network's prefix is shorter.
ENCLOSING = {V4: (V4_24, 8), V4_24: (V4_16, 8), V6_64: (V6_48, 16)}
# The prefix of IPv4-mapped IPv6 addresses (RFC 4291, 2.5.5.2).
IPV4_MAPPED = b"\0" * 10 + b"\xff\xff"
MAX_SHOWN_LENGTH = 50  # characters of invalid input quoted in an error text
_to_packed_ipv4, _unpack_uint32 = socket.inet_aton, struct.Struct(">I").unpack


def key_of(host: str) -> int:
    """Return the source key of an IP address.

    It is the key of the address itself for IPv4, and of the /64 that holds it for IPv6 (RFC 4291, 2.5.4).

    Raises:
        ValueError: `host` is not an address.
    """
    try:
        if ":" not in host:
            return int(_unpack_uint32(_to_packed_ipv4(host))[0]) << 8 | V4
        packed = socket.inet_pton(socket.AF_INET6, host.partition("%")[0])
    except OSError:
        raise ValueError(f"not an address: {host[:MAX_SHOWN_LENGTH]!r}") from None
    if packed.startswith(IPV4_MAPPED):
        return int.from_bytes(packed[12:], "big") << 8 | V4
    return int.from_bytes(packed[:8], "big") << 8 | V6_64


def enclosing_key(key: int) -> int | None:
    """Return the key of the next larger network around a key; None for a /16 or /48, the largest kinds."""
    enclosing = ENCLOSING.get(key & KIND_MASK)
    if enclosing is None:
        return None
    kind, shorter_by = enclosing
    return key >> KIND_BITS + shorter_by << KIND_BITS | kind


def network_key_of(key: int) -> int:
    """Return the key of the /24 or /48 network around the key of an address."""
    return key >> 16 << 8 | V4_24 if key & KIND_MASK == V4 else key >> 24 << 8 | V6_48


def text_of(key: int) -> str:
    """Return a key in the usual notation: '192.0.2.1', '192.0.2.0/24' or '2001:db8::/64'."""
    kind = key & KIND_MASK
    length = PREFIX_LENGTH[kind]
    if kind in V4_KINDS:
        host = socket.inet_ntoa((key >> KIND_BITS << 32 - length).to_bytes(4, "big"))
        return host if length == 32 else f"{host}/{length}"
    return (
        socket.inet_ntop(socket.AF_INET6, (key >> KIND_BITS << 128 - length).to_bytes(16, "big"))
        + f"/{length}"
    )
