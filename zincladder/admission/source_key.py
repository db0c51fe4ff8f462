"""Keys of sources: an address or a network around it, packed into one integer.

The low byte of a key says which prefix the bits above it are: hashing and shifting an integer costs far less
than handling an address object for every connection of a flood.
"""

from __future__ import annotations

import socket
import struct

# Kinds of keys: the low byte.
V4, V4_24, V4_16, V6_64, V6_48 = 1, 2, 3, 4, 5
V4_KINDS = (V4, V4_24, V4_16)
KIND_BITS = 8
KIND_MASK = 0xFF
PREFIX_LENGTH = {V4: 32, V4_24: 24, V4_16: 16, V6_64: 64, V6_48: 48}
# Kind of the network around a key, and by how many bits its prefix is shorter.
ENCLOSING = {V4: (V4_24, 8), V4_24: (V4_16, 8), V6_64: (V6_48, 16)}
# The prefix of an IPv4 address in an IPv6 socket (RFC 4291, 2.5.5.2).
IPV4_MAPPED = b"\0" * 10 + b"\xff\xff"
MAX_SHOWN_LENGTH = 50  # characters of what is no address
_to_packed_ipv4, _unpack_uint32 = socket.inet_aton, struct.Struct(">I").unpack


def key_of(host: str) -> int:
    """The key of an address in text: IPv4 /32, IPv6 /64 (RFC 4291, 2.5.4).

    Raises:
        ValueError: `host` is no address.
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
    """The key of the network around an address or network; None for the widest."""
    enclosing = ENCLOSING.get(key & KIND_MASK)
    if enclosing is None:
        return None
    kind, shorter_by = enclosing
    return key >> KIND_BITS + shorter_by << KIND_BITS | kind


def rate_network_key(key: int) -> int:
    """The key of the /24 or /48 around an address."""
    return key >> 16 << 8 | V4_24 if key & KIND_MASK == V4 else key >> 24 << 8 | V6_48


def text_of(key: int) -> str:
    """A key as an operator writes it: '192.0.2.1', '192.0.2.0/24' or '2001:db8::/64'."""
    kind = key & KIND_MASK
    length = PREFIX_LENGTH[kind]
    if kind in V4_KINDS:
        host = socket.inet_ntoa((key >> KIND_BITS << 32 - length).to_bytes(4, "big"))
        return host if length == 32 else f"{host}/{length}"
    return (
        socket.inet_ntop(socket.AF_INET6, (key >> KIND_BITS << 128 - length).to_bytes(16, "big"))
        + f"/{length}"
    )
