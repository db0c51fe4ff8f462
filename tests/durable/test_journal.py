"""Tests that the journal detects damage to its file."""

from __future__ import annotations

from pathlib import Path

import pytest

from zincladder.durable.errors import JournalError
from zincladder.durable.journal import Item, Journal


def test_a_corrupt_byte_before_the_last_batch_is_reported_with_the_file(tmp_path: Path) -> None:
    # The journal must not silently truncate its file at a corrupt byte: the rest may hold a vote.
    journal = Journal(tmp_path / "j")
    journal.rewrite([Item(1, b"first"), Item(2, b"second")])
    for n in range(3):
        journal.append([Item(1, b"%d" % n), Item(2, b"more")])
    journal.close()
    (path,) = (tmp_path / "j").glob("*.log")
    intact = path.read_bytes()
    last_batch = intact.rindex(b"2", 0, intact.rindex(b"more")) - 24  # offset of the last batch
    for offset in range(16, len(intact)):
        corrupt = bytearray(intact)
        corrupt[offset] ^= 0x40
        path.write_bytes(corrupt)
        if offset < last_batch:
            with pytest.raises(JournalError, match=r"corrupt at byte \d+, followed by intact records"):
                Journal(tmp_path / "j")
        else:
            reopened = Journal(tmp_path / "j")
            assert reopened.items[:6] == [(1, b"first"), (2, b"second"), (1, b"0"), (2, b"more"), (1, b"1"),
                                       (2, b"more")]  # fmt: skip
            reopened.close()
