"""Splitting the coordinator's byte stream into frames."""

from __future__ import annotations

import struct
from random import Random

import pytest

from tests.support.coordinator_frames import frame
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.events import FrameReader


@pytest.mark.parametrize("seed", range(20))
def test_frames_are_the_same_however_the_byte_stream_is_split(seed: int) -> None:
    random = Random(seed)
    sent = [(n, random.choice((0, 3, 4)), random.randbytes(random.randrange(40))) for n in range(50)]
    data = b"".join(frame(*fields) for fields in sent)
    reader, received = FrameReader(), []
    while data:
        size = random.randrange(1, 60)
        received += [(f.number, f.kind, f.payload) for f in reader.feed(data[:size])]
        data = data[size:]
    assert received == sent


def test_a_frame_length_out_of_range_ends_the_connection() -> None:
    for length in (0, 8, (1 << 22) + 1):
        with pytest.raises(ConnectionEndedError):
            list(FrameReader().feed(struct.pack(">IQB", length, 1, 0)))
