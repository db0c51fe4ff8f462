"""The configuration in force: the files as last read, overridden by the fleet's policy if there is one."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Protocol

import structlog

from zincladder.admission.model import AdmissionLimits
from zincladder.config.changes import merge_reloaded
from zincladder.config.environment import load, load_operator
from zincladder.config.errors import ConfigError
from zincladder.config.limits import divide_limits
from zincladder.config.model import Config, Operator

# Keys of two counters, each a group and a label value; the metrics and STATS publish the counts.
RELOADS_APPLIED = ("reloads", "applied")
RELOADS_REJECTED = ("reloads", "rejected")  # the previous configuration stays in force

log = structlog.get_logger()


class Overlay(Protocol):
    """Overrides the front's own files with the fleet's policy."""

    def apply_policy(self, config: Config, operator: Operator) -> tuple[Config, Operator]:
        """Returns the front's own configuration with the policy applied to it. Raises ConfigError."""

    def reread_files(self) -> None:
        """Rereads the front's own files. Raises ConfigError if a key changed that the policy sets."""


class Reload:
    """Holds the configuration in force and passes each new one to the parts of the front.

    Calling the instance rereads the files. The subscribers are called in order with each new configuration,
    in which the limits are divided among the processes of this front.
    """

    def __init__(self, config: Config) -> None:
        self._own_config = self._effective = config
        self.processes = 1  # number of running processes of this front
        self.subscribers: list[Callable[[Config], None]] = []
        self.limits: Callable[[AdmissionLimits], None] | None = None
        self.counts: Counter[tuple[str, str]] = Counter()
        self.overlay: Overlay | None = None

    def connect(
        self,
        subscribers: Sequence[Callable[[Config], None]],
        counts: Counter[tuple[str, str]],
        limits: Callable[[AdmissionLimits], None] | None,
    ) -> None:
        """Connects the parts of a front.

        Args:
            subscribers: Called with each new configuration.
            counts: The core's counters, in which reloads are counted.
            limits: Called with new limits of admission by source; None if that is off.
        """
        self.subscribers += subscribers
        self.counts, self.limits = counts, limits

    @property
    def own_config(self) -> Config:
        """The configuration in this front's own file, without the fleet's policy."""
        return self._own_config

    def __call__(self) -> None:
        """Rereads the files and applies them.

        If a file is invalid, the whole previous configuration stays in force, and the faulty key is logged.
        """
        try:
            config, needs_restart = self._read_files()
        except ConfigError as error:
            self.counts[RELOADS_REJECTED] += 1
            log.error("configuration rejected; keeping the previous one", reason=str(error))
            return
        if needs_restart:
            log.warning("changed keys take effect only after a restart", keys=needs_restart)
        self.counts[RELOADS_APPLIED] += 1
        log.info("configuration reloaded", coordinator=config.coordinator, classes=config.names.classes)

    def _read_files(self) -> tuple[Config, list[str]]:
        """Rereads and applies the files; returns the configuration and the keys that need a restart."""
        if self.overlay:
            self.overlay.reread_files()
        config, needs_restart = merge_reloaded(self._own_config, load())
        operator = load_operator(config.names)
        if bool(self.limits) != bool(operator.admission):
            needs_restart.append("admission")
        self.apply_files(config, operator)
        return config, needs_restart

    def apply_files(self, own_config: Config, operator: Operator) -> None:
        """Applies the contents of the front's files, overridden by the policy if there is one.

        Raises ConfigError if the result is invalid; nothing has changed then.
        """
        config = own_config
        if self.overlay:
            config, operator = self.overlay.apply_policy(own_config, operator)
        self._own_config, self._effective = own_config, config
        self._apply()
        if self.limits and operator.admission:
            self.limits(operator.admission)

    def set_process_count(self, processes: int) -> None:
        """Sets the number of processes of this front, among which its limits are divided."""
        self.processes = processes
        self._apply()

    def _apply(self) -> None:
        """Passes this process's part of the configuration in force to the subscribers."""
        config = divide_limits(self._effective, self.processes)
        for subscriber in self.subscribers:
            subscriber(config)
