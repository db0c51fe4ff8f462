"""The configuration in force: as last read, under the fleet's policy if there is one, for all parts alike."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Protocol

import structlog

from zincladder import config as configuration
from zincladder.admission.model import Limits
from zincladder.config import Config, ConfigError, Operator

log = structlog.get_logger()


class Overlay(Protocol):
    """A policy of the fleet, which goes before what a front's own files say."""

    def over(self, config: Config, operator: Operator) -> tuple[Config, Operator]:
        """What is in force with this front's own files as they are now. ConfigError names the key."""

    def read_again(self) -> None:
        """The files are read again. ConfigError names a key that was changed there and is the policy's."""


class Reload:
    """One configuration at a time, shared with the other processes of this front."""

    def __init__(self, config: Config) -> None:
        self._own = self._config = config
        self.processes = 1
        self.subscribers: list[Callable[[Config], None]] = []
        self.limits: Callable[[Limits], None] | None = None  # admission's, where it takes other ones
        self.counts: Counter[tuple[str, str]] = Counter()  # the core's
        self.overlay: Overlay | None = None

    @property
    def own(self) -> Config:
        """As this front's own file says."""
        return self._own

    def __call__(self) -> None:
        """Guards a running front against a file that cannot be used: it goes on with what it has, whole."""
        try:
            if self.overlay:
                self.overlay.read_again()
            config, waiting = configuration.merge_reloaded(self._own, configuration.load())
            operator = configuration.load_operator(config.names)
            if bool(self.limits) != bool(operator.admission):
                waiting.append("admission")
            self.take(config, operator)
        except ConfigError as fault:
            self.counts["reloads", "rejected"] += 1
            log.error("configuration rejected, the old one is kept", reason=str(fault))
            return
        if waiting:
            log.warning("keys that take effect at the next start only", keys=waiting)
        self.counts["reloads", "applied"] += 1
        log.info("configuration reloaded", coordinator=config.coordinator, classes=config.names.classes)

    def take(self, own: Config, operator: Operator) -> None:
        """Puts in force what the files say, under the policy if there is one; or ConfigError, and nothing."""
        config = own
        if self.overlay:
            config, operator = self.overlay.over(own, operator)
        self._own, self._config = own, config
        self._apply()
        if self.limits and operator.admission:
            self.limits(operator.admission)

    def share(self, processes: int) -> None:
        """So many processes of this front run from now on."""
        self.processes = processes
        self._apply()

    def _apply(self) -> None:
        config = configuration.divide_limits(self._config, self.processes)
        for apply in self.subscribers:
            apply(config)
