"""Source keys."""

from __future__ import annotations

import pytest

from zincladder.admission.source_key import key_of, text_of


@pytest.mark.parametrize(
    ("host", "text"),
    [
        ("192.0.2.7", "192.0.2.7"),
        # An IPv4-mapped address (RFC 4291, 2.5.5.2) is the same client on an IPv6 socket.
        ("::ffff:192.0.2.7", "192.0.2.7"),
        ("2001:db8:1:2:3::4", "2001:db8:1:2::/64"),
        ("fe80::1%lo", "fe80::/64"),
    ],
)
def test_every_notation_of_an_address_gives_the_same_source(host: str, text: str) -> None:
    assert text_of(key_of(host)) == text
    with pytest.raises(ValueError, match="not an address"):
        key_of("x.y" + host)
