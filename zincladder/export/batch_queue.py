"""The batches of one receiver that wait to be sent: first those in the spool, then those in memory.

All methods but the constructor block and are called in a worker thread, one at a time. None of them lets an
error of the spool's files out: the front serves requests whether or not its samples can be stored.
"""

from __future__ import annotations

from collections.abc import Callable
from pathlib import Path

import structlog

from zincladder.config import ConfigError, RemoteWriteConfig
from zincladder.durable.folder_lock import FolderLock
from zincladder.export.batch_store import BatchStore, MemoryStore, SpooledBatch
from zincladder.export.errors import SpoolError, spool_error
from zincladder.export.spool import FOLDER_MODE, Spool
from zincladder.support.rate_limited_log import RateLimitedLog

MAX_LOGGED_FILES = 10
LOG_INTERVAL_SECONDS = 10.0  # least time between two lines about the same trouble
log = structlog.get_logger()


class BatchQueue:
    """A queue of batches in the order of their times.

    The spool's folder belongs to one process at a time, which holds its lock until it ends. While an older
    process of the same front holds it, this one collects its batches in memory and sends none: the samples of
    both belong to the same series, and those of the older process have to arrive first.
    """

    def __init__(self, config: RemoteWriteConfig, predecessor_runs: Callable[[], bool]) -> None:
        """Creates the queue, and opens the spool if one is configured and its folder is free.

        Args:
            config: The receiver.
            predecessor_runs: Returns whether the process that this one replaces still runs. Such a process
                may be of a version that does not lock the folder.

        Raises:
            ConfigError: The spool's folder cannot be used because of the configuration.
        """
        self._max_spool_bytes = config.max_spool_bytes
        self._folder = None if config.spool_folder is None else Path(config.spool_folder)
        self._predecessor_runs = predecessor_runs
        self._lock = None if self._folder is None else FolderLock(self._folder)
        self._spool: Spool | None = None
        self._memory = MemoryStore(config.max_memory_bytes)
        self._sent_next: SpooledBatch | None = None  # the batch that `oldest` returned
        self._lost_in_closed_spools = 0
        self._min_acknowledged = 0  # number of the last batch sent from a spool that was closed since
        self._waited_for_lock = False  # another process held the lock when this one last tried
        self._rate_limited_log = RateLimitedLog(LOG_INTERVAL_SECONDS)
        try:
            self._open_spool()
        except SpoolError as error:
            if error.misconfigured:
                raise ConfigError(f"'remote_write.spool' cannot be used: {error}") from None
            self._log_unusable(error)

    def __len__(self) -> int:
        """Returns the number of batches that wait to be sent, without those of another process."""
        return len(self._memory) + (0 if self._spool is None else len(self._spool))

    @property
    def lost_batches(self) -> int:
        """The number of batches that were dropped or became unreadable before they were sent."""
        in_spool = 0 if self._spool is None else self._spool.lost_batches
        return self._memory.lost_batches + self._lost_in_closed_spools + in_spool

    @property
    def is_usable(self) -> bool:
        """Whether batches can be sent. If not, `oldest` has to be called again later to find out."""
        return self._folder is None or self._spool is not None

    # Batches --------------------------------------------------------------------------------------

    def append(self, unix_ms: int, payload: bytes) -> None:
        """Adds a batch: to the spool, or to memory if there is no spool or it cannot be written.

        Batches in memory are newer than all batches in the spool, and are sent after them. To keep this
        order, nothing is added to the spool before the memory is empty.
        """
        self._ensure_spool()
        if self._spool is not None and not len(self._memory):
            try:
                self._spool.append(unix_ms, payload)
                return
            except OSError as error:
                self._rate_limited_log.warning(
                    "spool could not be written, batch is kept in memory", reason=str(error)
                )
        self._memory.append(unix_ms, payload)

    def oldest(self) -> SpooledBatch | None:
        """Returns the batch to send next; None if there is none, or none may be sent now."""
        self._sent_next = None
        self._ensure_spool()
        if not self.is_usable:
            return None
        try:
            # A spool may find that its last batches are lost; those in memory are next then.
            self._sent_next = self._store_of_oldest().oldest() or self._store_of_oldest().oldest()
        except OSError as error:
            self._rate_limited_log.warning("spool could not be read, will be retried", reason=str(error))
        return self._sent_next

    def acknowledge(self) -> None:
        """Removes the batch that `oldest` returned, unless it was dropped meanwhile."""
        batch, self._sent_next = self._sent_next, None
        self._ensure_spool()
        store = self._store_of_oldest()
        try:
            if batch is not None and store.oldest() == batch:
                store.acknowledge(batch)
        except OSError as error:
            self._rate_limited_log.warning("spool could not be read, will be retried", reason=str(error))

    def _store_of_oldest(self) -> BatchStore:
        return self._spool if self._spool is not None and len(self._spool) else self._memory

    # The lock --------------------------------------------------------------------------------------

    def _ensure_spool(self) -> None:
        """Opens the spool if it is not open, and opens it again if its folder was removed or replaced."""
        if self._lock is None or (self._spool is not None and self._lock.is_held()):
            return
        self._reopen_later()
        try:
            self._open_spool()
        except SpoolError as error:
            self._log_unusable(error)

    def _reopen_later(self) -> None:
        """Closes a spool whose folder was removed; keeps in memory what only this process can still read.

        If another process has taken the folder meanwhile, it may have sent that already: it is given up.
        """
        if self._spool is None or self._lock is None:
            return
        was_replaced = self._lock.was_replaced()
        self._min_acknowledged = 0 if was_replaced else self._spool.acknowledged
        removed_batches = self._close_spool(self._spool)
        if was_replaced:
            self._waited_for_lock = True
            self._lost_in_closed_spools += len(removed_batches)
        else:
            moved = self._memory.prepend(removed_batches)
            if self._sent_next in removed_batches:
                self._sent_next = moved[removed_batches.index(self._sent_next)]
        log.warning(
            "spool folder was removed or replaced, it is opened again", batches_in_memory=len(self._memory)
        )

    def _close_spool(self, spool: Spool) -> list[SpooledBatch]:
        """Closes the spool; returns the batches whose files were removed, as far as they can be read."""
        try:
            removed_batches = spool.take_removed_batches()
        except OSError:
            removed_batches = []
        self._lost_in_closed_spools += spool.lost_batches
        spool.close()
        self._spool = None
        return removed_batches

    def _open_spool(self) -> None:
        """Opens the spool if its folder is free. Raises SpoolError if it cannot be used."""
        if self._folder is None or self._lock is None:
            return
        try:
            self._folder.mkdir(mode=FOLDER_MODE, parents=True, exist_ok=True)
            is_free = self._lock.acquire() and not self._predecessor_runs()
        except OSError as error:
            raise spool_error(self._folder, error) from None
        if not is_free:
            self._wait_for_lock()
            return
        self._spool = Spool(self._folder, self._max_spool_bytes, self._min_acknowledged)
        self._drop_superseded_batches(self._spool)
        self._log_opened(self._spool)

    def _wait_for_lock(self) -> None:
        self._min_acknowledged = 0  # the numbers are those of the other process from now on
        if not self._waited_for_lock:
            self._waited_for_lock = True
            log.info(
                "spool is in use by another process, batches are kept in memory", folder=str(self._folder)
            )

    def _drop_superseded_batches(self, spool: Spool) -> None:
        """Drops the batches in memory that are not newer than those of the process that held the lock before.

        Their series have a newer sample of that process, so a receiver would reject them. The counters in
        them are part of the batches that follow.
        """
        if self._waited_for_lock:
            dropped = self._memory.drop_until(spool.newest_unix_ms)
            log.info("spool taken over from another process", superseded_batches=dropped)
        self._waited_for_lock = False

    def close(self) -> None:
        """Moves the batches in memory to the spool as far as it takes them, and closes it."""
        self._ensure_spool()
        if self._spool is not None:
            try:
                self._spool.restore_removed_files()
                self._move_memory_to(self._spool)
            except OSError as error:
                log.warning("unsent batches lost, spool could not be written", reason=str(error))
            unsent_batches = self._close_spool(self._spool)
            self._lost_in_closed_spools += len(unsent_batches)
        if self._lock is not None:
            self._lock.release()

    def _move_memory_to(self, spool: Spool) -> None:
        while (batch := self._memory.oldest()) is not None:
            spool.append(batch.unix_ms, batch.payload)
            self._memory.acknowledge(batch)

    # Logging --------------------------------------------------------------------------------------

    def _log_opened(self, spool: Spool) -> None:
        if spool.foreign_files:
            log.warning(
                "spool folder holds files that are not segments of this spool",
                files=spool.foreign_files[:MAX_LOGGED_FILES],
            )
        if len(spool):
            log.info("spool reopened with unsent batches", batches=len(spool))

    def _log_unusable(self, error: SpoolError) -> None:
        self._rate_limited_log.warning(
            "spool could not be opened, batches are kept in memory", reason=str(error)
        )
