"""Tests of link frames: streams split at any byte, and corrupt frames."""

from __future__ import annotations

import contextlib

from hypothesis import given
from hypothesis import strategies as st

from zincladder.links.errors import FrameError
from zincladder.links.frames import FrameDecoder, encode_frame


@given(st.lists(st.binary(max_size=200), max_size=8), st.integers(1, 40))
def test_frames_are_decoded_however_the_bytes_are_split(bodies: list[bytes], step: int) -> None:
    data = b"".join(map(encode_frame, bodies))
    decoder = FrameDecoder()
    found = [body for at in range(0, len(data), step) for body in decoder.feed(data[at : at + step])]
    assert found == bodies


@given(st.binary(min_size=1, max_size=60), st.data())
def test_a_frame_with_a_changed_byte_is_never_decoded(body: bytes, data: st.DataObject) -> None:
    corrupt = bytearray(encode_frame(body))
    corrupt[data.draw(st.integers(0, len(corrupt) - 1))] ^= data.draw(st.integers(1, 255))
    with contextlib.suppress(FrameError):
        # A corrupt length can be larger than the frame; the decoder then waits for more bytes.
        assert FrameDecoder().feed(bytes(corrupt)) == []
