"""The messages of an upgrade, and the count of the processes of one front."""

from __future__ import annotations

import pytest

from zincladder.handover.model import MAX_OTHER_PROCESSES, Hello, HelloError, ProcessGenerations, decode


def test_a_truncated_or_foreign_hello_is_rejected() -> None:
    good = Hello("127.0.0.1:80", 7).encode()
    assert decode(good, "127.0.0.1:80").pid == 7
    bad = (good[:-3], b"[]\n", b"\xff\n", good.replace(b": 1,", b": 2,"), good.replace(b"7", b'"x"'))
    for data in bad:
        with pytest.raises(HelloError):
            decode(data, "127.0.0.1:80")
    with pytest.raises(HelloError):
        decode(good, "127.0.0.1:81")


def test_processes_are_counted_until_they_end_and_their_number_is_bounded() -> None:
    generations = ProcessGenerations()
    old = generations.add(newer=False)
    assert old and generations.process_count == 2 and not generations.has_successor
    new = generations.add(newer=True)
    assert new and generations.has_successor
    generations.remove(old)
    generations.remove(new)
    assert generations.process_count == 1 and not generations.has_successor
    assert [generations.add(True) is None for _ in range(MAX_OTHER_PROCESSES + 1)].count(True) == 1
