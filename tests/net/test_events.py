"""Frames of the coordinator out of a stream of bytes."""

from __future__ import annotations

import struct
from random import Random

import pytest

from tests.support.coordinator_frames import frame
from zincladder.net.errors import ConnectionEndedError
from zincladder.net.events import FrameReader


@pytest.mark.parametrize("seed", range(20))
def test_frames_come_out_the_same_however_the_bytes_are_cut(seed: int) -> None:
    random = Random(seed)
    sent = [(n, random.choice((0, 3, 4)), random.randbytes(random.randrange(40))) for n in range(50)]
    data = b"".join(frame(*one) for one in sent)
    reader, got = FrameReader(), []
    while data:
        cut = random.randrange(1, 60)
        got += [(f.number, f.kind, f.payload) for f in reader.take(data[:cut])]
        data = data[cut:]
    assert got == sent


def test_a_frame_of_an_impossible_length_is_no_frame() -> None:
    for length in (0, 8, (1 << 22) + 1):
        with pytest.raises(ConnectionEndedError):
            list(FrameReader().take(struct.pack(">IQB", length, 1, 0)))
