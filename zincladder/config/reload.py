"""The configuration in force: as last read, under the fleet's policy if there is one, for all parts alike."""

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

# Counts by group and label, as the metrics and STATS publish them.
RELOADS_APPLIED = ("reloads", "applied")
RELOADS_REJECTED = ("reloads", "rejected")  # the configuration before stays in force

log = structlog.get_logger()


class Overlay(Protocol):
    """The fleet's policy, which goes before what a front's own files say."""

    def over(self, config: Config, operator: Operator) -> tuple[Config, Operator]:
        """The configuration in force for the front's own files as given. Raises ConfigError."""

    def read_again(self) -> None:
        """Read the front's own files again. Raises ConfigError for a changed key that the policy sets."""


class Reload:
    """Holds one configuration at a time, shared with the other processes of this front.

    A call reads the files again. Subscribers are called with each new configuration, in their order.
    """

    def __init__(self, config: Config) -> None:
        self._own = self._in_force = config
        self.processes = 1  # of this front, that run now
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
        """Connect the parts of a front.

        Parameters: `subscribers` take each new configuration, `counts` are the core's counters, and `limits`
        takes those of admission by source, where it is on.
        """
        self.subscribers += subscribers
        self.counts, self.limits = counts, limits

    @property
    def own(self) -> Config:
        """The configuration as this front's own file has it."""
        return self._own

    def __call__(self) -> None:
        """Read the files again; guards a running front against a file that cannot be used.

        It goes on with the configuration that it has, all of it, and logs the faulty key.
        """
        try:
            config, pending = self._read_files()
        except ConfigError as error:
            self.counts[RELOADS_REJECTED] += 1
            log.error("configuration rejected, the old one is kept", reason=str(error))
            return
        if pending:
            log.warning("keys that take effect at the next start only", keys=pending)
        self.counts[RELOADS_APPLIED] += 1
        log.info("configuration reloaded", coordinator=config.coordinator, classes=config.names.classes)

    def _read_files(self) -> tuple[Config, list[str]]:
        """Take what the files say now, and give the keys that wait for the next start."""
        if self.overlay:
            self.overlay.read_again()
        config, pending = merge_reloaded(self._own, load())
        operator = load_operator(config.names)
        if bool(self.limits) != bool(operator.admission):
            pending.append("admission")
        self.take(config, operator)
        return config, pending

    def take(self, own: Config, operator: Operator) -> None:
        """Put in force what the files say, under the policy if there is one.

        Raises ConfigError, and nothing changes then.
        """
        config = own
        if self.overlay:
            config, operator = self.overlay.over(own, operator)
        self._own, self._in_force = own, config
        self._apply()
        if self.limits and operator.admission:
            self.limits(operator.admission)

    def share(self, processes: int) -> None:
        """So many processes of this front run from now on, and share its limits."""
        self.processes = processes
        self._apply()

    def _apply(self) -> None:
        config = divide_limits(self._in_force, self.processes)
        for subscriber in self.subscribers:
            subscriber(config)
