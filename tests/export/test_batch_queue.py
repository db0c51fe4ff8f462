"""Tests what becomes of unsent batches when processes share a spool, and when its files fail or vanish."""

from __future__ import annotations

import errno
import os
import shutil
import tempfile
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from zincladder.config import ConfigError, RemoteWriteConfig
from zincladder.durable.folder_lock import FolderLock
from zincladder.export.batch_queue import BatchQueue
from zincladder.export.spool import Spool

MAX_SPOOL_BYTES = 64 << 20
# By hand: the number of random sequences, which are others in each run. Without it they are always the same.
EXAMPLES = int(os.environ.get("SPOOL_EXAMPLES", "0"))


def queue(folder: Path, predecessor_runs: Callable[[], bool] = bool, max_bytes: int = 1 << 20) -> BatchQueue:
    config = RemoteWriteConfig("127.0.0.1", 1, "/", max_memory_bytes=max_bytes, spool_folder=str(folder))
    return BatchQueue(config, predecessor_runs)


def add(batches: BatchQueue, *times: int) -> None:
    for unix_ms in times:
        batches.append(unix_ms, b"payload %d" % unix_ms)


def send_all(batches: BatchQueue) -> list[int]:
    """Sends batches until none may be sent; returns their times."""
    sent = []
    while (batch := batches.oldest()) is not None:
        assert batch.payload == b"payload %d" % batch.unix_ms
        sent.append(batch.unix_ms)
        batches.acknowledge()
    return sent


def fail_with(error: int) -> Callable[..., Any]:
    def fail(*args: Any) -> Any:
        raise OSError(error, os.strerror(error))

    return fail


# Two processes ------------------------------------------------------------------------------------


def test_batches_wait_in_memory_until_the_process_that_uses_the_spool_ends(tmp_path: Path) -> None:
    # Guards against two processes that remove each other's segments, and send the same batches.
    old = queue(tmp_path)
    add(old, 1, 2)
    new = queue(tmp_path)
    add(new, 3, 4)
    assert new.oldest() is None and len(new) == 2
    assert old.oldest() is not None
    old.acknowledge()
    add(old, 5)
    old.close()
    add(new, 6, 7)
    # What the old process stored comes first. 3 and 4 are older than its last batch, so they are superseded.
    assert send_all(new) == [2, 5, 6, 7]
    assert old.lost_batches == new.lost_batches == 0


def test_a_process_that_hangs_keeps_the_spool_and_the_new_one_keeps_its_batches(tmp_path: Path) -> None:
    old = queue(tmp_path)
    add(old, 1, 2)
    new = queue(tmp_path)
    add(new, 3, 4, 5)
    assert send_all(new) == []
    old._lock.release()  # type: ignore[union-attr]  # as the kernel does when the old process is killed
    assert send_all(new) == [1, 2, 3, 4, 5] and new.lost_batches == 0
    # Were it not killed but continued now, it would see that the folder is another process's.
    add(old, 6)
    assert old.oldest() is None


def test_a_predecessor_of_a_version_without_the_lock_is_waited_for(tmp_path: Path) -> None:
    predecessor = Spool(tmp_path, MAX_SPOOL_BYTES)  # takes no lock
    predecessor.append(1, b"payload 1")
    runs = True
    new = queue(tmp_path, lambda: runs)
    add(new, 3)
    predecessor.append(2, b"payload 2")
    assert send_all(new) == [] and predecessor.oldest() is not None
    predecessor.close()
    runs = False
    assert send_all(new) == [1, 2, 3]


def test_a_process_that_took_the_folder_sends_its_batches_and_no_other_does(tmp_path: Path) -> None:
    first = queue(tmp_path)
    add(first, 1, 2)
    remove_lock(tmp_path)
    second = queue(tmp_path)
    assert send_all(second) == [1, 2]
    add(first, 3)
    assert send_all(first) == []
    add(second, 4)
    second.close()
    add(first, 5)
    assert send_all(first) == [4, 5]  # 3 is older than what the other process has stored


def test_a_lock_whose_file_was_replaced_is_not_held(tmp_path: Path) -> None:
    first, second = FolderLock(tmp_path), FolderLock(tmp_path)
    assert first.acquire() and not second.acquire()
    (tmp_path / "lock").unlink()
    assert not first.is_held()
    assert second.acquire() and not first.acquire()
    second.release()
    assert first.acquire()


# Files that vanish --------------------------------------------------------------------------------


def remove_folder(folder: Path) -> None:
    shutil.rmtree(folder)


def remove_segments(folder: Path) -> None:
    for path in folder.glob("*.seg"):
        path.unlink()


def remove_cursor(folder: Path) -> None:
    (folder / "cursor").unlink()


def remove_lock(folder: Path) -> None:
    (folder / "lock").unlink()


def replace_folder_by_a_file(folder: Path) -> None:
    shutil.rmtree(folder)
    folder.write_text("not a folder")


REMOVALS = [remove_folder, remove_segments, remove_cursor, remove_lock, replace_folder_by_a_file]


@pytest.mark.parametrize("remove", REMOVALS)
@pytest.mark.parametrize("handed_out", [False, True])
def test_files_that_vanish_cost_no_batch_and_none_is_sent_twice(
    tmp_path: Path, remove: Callable[[Path], None], handed_out: bool
) -> None:
    # Guards against an error of the spool's files that ends the process, and against lost batches.
    folder = tmp_path / "spool"
    batches = queue(folder)
    add(batches, 1, 2, 3)
    sent = []
    if handed_out:  # a push of the first batch is under way when the files vanish
        assert batches.oldest() is not None
        sent.append(1)
    remove(folder)
    if handed_out:
        batches.acknowledge()
    if folder.is_file():
        add(batches, 4)
        assert send_all(batches) == [] and len(batches) == 4 - handed_out
        folder.unlink()
    else:
        add(batches, 4)
    assert sent + send_all(batches) == [1, 2, 3, 4]
    add(batches, 5, 6)
    assert batches.lost_batches == 0
    batches.close()
    assert send_all(queue(folder)) == [5, 6]


def test_a_removed_older_segment_is_counted_and_the_others_are_sent(tmp_path: Path) -> None:
    batches = queue(tmp_path, max_bytes=1 << 24)
    for i in range(1, 21):
        batches.append(i, bytes(1 << 20))
    first, second, *_ = sorted(tmp_path.glob("*.seg"))
    lost = int(second.stem) - int(first.stem)
    first.unlink()
    sent = []
    while (batch := batches.oldest()) is not None:
        sent.append(batch.unix_ms)
        batches.acknowledge()
    assert sent == list(range(1 + lost, 21)) and batches.lost_batches == lost


def test_a_corrupt_open_segment_does_not_hide_the_batches_that_follow(tmp_path: Path) -> None:
    batches = queue(tmp_path)
    add(batches, 1, 2)
    (path,) = tmp_path.glob("*.seg")
    path.write_bytes(bytes(path.stat().st_size))
    assert send_all(batches) == [] and batches.lost_batches == 2
    add(batches, 3, 4)
    assert send_all(batches) == [3, 4] and batches.lost_batches == 2


def test_a_foreign_file_with_the_name_of_the_next_segment_is_left_as_it_is(tmp_path: Path) -> None:
    foreign = tmp_path / f"{1:020d}.seg"
    foreign.write_text("somebody else's, and longer than the header of a segment")
    (tmp_path / f"{2:020d}.seg").mkdir()
    batches = queue(tmp_path)
    add(batches, 1, 2)
    assert send_all(batches) == [1, 2] and batches.lost_batches == 0
    batches.close()
    reopened = queue(tmp_path)
    add(reopened, 3)
    assert send_all(reopened) == [3]
    assert foreign.read_text().startswith("somebody") and (tmp_path / f"{2:020d}.seg").is_dir()


# Calls that fail ----------------------------------------------------------------------------------


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO, errno.EROFS])
def test_batches_that_the_disk_does_not_take_are_sent_after_those_in_the_spool(
    tmp_path: Path, error: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    batches = queue(tmp_path)
    add(batches, 1, 2)
    with monkeypatch.context() as failing:
        failing.setattr("zincladder.export.spool.os.pwrite", fail_with(error))
        add(batches, 3)
        assert batches.oldest() is not None
        batches.acknowledge()
        # The cursor could not be written, so a kill now would bring 1 once more. Nothing else may be sent.
        assert batches.oldest() is None
    add(batches, 4)
    assert send_all(batches) == [2, 3, 4] and batches.lost_batches == 0
    add(batches, 5)
    batches.close()
    assert send_all(queue(tmp_path)) == [5]


def test_a_segment_that_cannot_be_read_for_a_while_is_read_later(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    batches = queue(tmp_path)
    add(batches, 1, 2)
    with monkeypatch.context() as failing:
        failing.setattr("zincladder.export.spool.os.pread", fail_with(errno.EIO))
        assert batches.oldest() is None and len(batches) == 2
    assert send_all(batches) == [1, 2] and batches.lost_batches == 0


def test_a_full_disk_at_the_start_keeps_no_front_from_serving(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    with monkeypatch.context() as failing:
        failing.setattr("zincladder.export.spool.os.pwrite", fail_with(errno.ENOSPC))
        batches = queue(tmp_path / "spool")
        add(batches, 1)
        assert batches.oldest() is None
    assert send_all(batches) == [1]
    (tmp_path / "file").write_text("x")
    with pytest.raises(ConfigError, match=r"remote_write\.spool"):
        queue(tmp_path / "file")


def test_batches_in_memory_are_stored_when_the_process_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    batches = queue(tmp_path)
    add(batches, 1)
    with monkeypatch.context() as failing:
        failing.setattr("zincladder.export.spool.os.pwrite", fail_with(errno.ENOSPC))
        add(batches, 2, 3)
    batches.close()
    assert send_all(queue(tmp_path)) == [1, 2, 3]


def test_a_batch_that_was_sent_while_the_cursor_failed_is_not_sent_by_the_reopened_spool(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    batches = queue(tmp_path)
    add(batches, 1)
    with monkeypatch.context() as failing:
        failing.setattr("zincladder.export.spool.os.pwrite", fail_with(errno.EIO))
        assert batches.oldest() is not None
        batches.acknowledge()
        remove_lock(tmp_path)
        add(batches, 2)
    assert send_all(batches) == [2]


STEPS = ("add", "add", "send", "send", "close", "fail", "recover", *REMOVALS[:4])


@given(st.lists(st.sampled_from(STEPS), max_size=40))
@hypothesis_settings(max_examples=EXAMPLES or 300, derandomize=not EXAMPLES, deadline=None)
def test_whatever_happens_to_the_files_each_batch_is_sent_once_and_in_order(steps: list[Any]) -> None:
    with tempfile.TemporaryDirectory() as parent, pytest.MonkeyPatch.context() as failing:
        folder = Path(parent) / "spool"
        batches, added, lost, sent = queue(folder), 0, 0, list[int]()
        for step in steps:
            if step == "add":
                added += 1
                add(batches, added)
            elif step == "send":
                if (batch := batches.oldest()) is not None:
                    sent.append(batch.unix_ms)
                    batches.acknowledge()
            elif step == "close":
                failing.undo()  # what is in memory at the end is lost if the disk still fails then
                batches.close()
                lost += batches.lost_batches
                batches = queue(folder)
            elif step == "fail":
                failing.setattr("zincladder.export.spool.os.pwrite", fail_with(errno.EIO))
            elif step == "recover":
                failing.undo()
            elif batches.is_usable and all((folder / name).exists() for name in ("cursor", "lock")):
                step(folder)
        failing.undo()
        sent += send_all(batches)
        lost += batches.lost_batches
        assert sent == sorted(set(sent)) and len(sent) + lost == added
        # A file takes batches along only if it was closed and opened again before it was removed.
        assert not lost or "close" in steps or remove_lock in steps
