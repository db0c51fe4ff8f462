"""Keys of sources."""

from __future__ import annotations

import pytest

from zincladder.admission.source_key import key_of, text_of


@pytest.mark.parametrize(
    ("host", "text"),
    [
        ("192.0.2.7", "192.0.2.7"),
        ("::ffff:192.0.2.7", "192.0.2.7"),  # RFC 4291, 2.5.5.2: one peer, whichever socket it came to
        ("2001:db8:1:2:3::4", "2001:db8:1:2::/64"),
        ("fe80::1%lo", "fe80::/64"),
    ],
)
def test_an_address_is_one_source_however_it_is_written(host: str, text: str) -> None:
    assert text_of(key_of(host)) == text
    with pytest.raises(ValueError, match="not an address"):
        key_of("x.y" + host)
