"""The journal: what it detects when its file is damaged."""

from __future__ import annotations

from pathlib import Path

import pytest

from zincladder.durable.errors import JournalError
from zincladder.durable.journal import Item, Journal


def test_a_corrupt_byte_before_the_last_batch_is_reported_with_the_file(tmp_path: Path) -> None:
    # guards promises: what is cut off at a corrupt place may hold a vote
    journal = Journal(tmp_path / "j")
    journal.rewrite([Item(1, b"first"), Item(2, b"second")])
    for n in range(3):
        journal.append([Item(1, b"%d" % n), Item(2, b"more")])
    journal.close()
    (path,) = (tmp_path / "j").glob("*.log")
    whole = path.read_bytes()
    last = whole.rindex(b"2", 0, whole.rindex(b"more")) - 24  # where the last batch begins
    for at in range(16, len(whole)):
        corrupt = bytearray(whole)
        corrupt[at] ^= 0x40
        path.write_bytes(corrupt)
        if at < last:
            with pytest.raises(JournalError, match=r"spoilt at byte \d+, with whole records behind it"):
                Journal(tmp_path / "j")
        else:
            found = Journal(tmp_path / "j")
            assert found.items[:6] == [(1, b"first"), (2, b"second"), (1, b"0"), (2, b"more"), (1, b"1"),
                                       (2, b"more")]  # fmt: skip
            found.close()
