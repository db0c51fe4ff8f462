"""Networks that the operator listed or blocked, in the file or by command."""

from __future__ import annotations

from zincladder.admission.model import AdmissionLimits, ListedNetwork
from zincladder.admission.networks import NetworkMap

MAX_COMMANDED_NETWORKS = 1024  # blocked, and as many trusted, by command


class OperatorLists:
    """The listed and blocked networks.

    What an operator commands stays until the process ends; a reload of the file keeps it.
    """

    def __init__(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._trusted: dict[str, None] = {}  # by command
        self._blocked_until: dict[str, float] = {}  # by command
        self.any_listed = self.any_blocked = False
        self._rebuild()

    def apply_limits(self, limits: AdmissionLimits) -> None:
        """Take the networks of a file that was read again."""
        self._limits = limits
        self._rebuild()

    def _rebuild(self) -> None:
        self.listed: NetworkMap[ListedNetwork] = NetworkMap()
        self._blocked: NetworkMap[float] = NetworkMap()  # until when
        for network in self._limits.networks:
            self.listed.put(network.net, network)
        for net in self._trusted:
            self.listed.put(net, ListedNetwork(net))
        for net in self._limits.blocked:
            self._blocked.put(net, float("inf"))
        for net, until in self._blocked_until.items():
            self._blocked.put(net, until)
        self.any_listed, self.any_blocked = bool(len(self.listed)), bool(len(self._blocked))

    def is_blocked(self, key: int, now: float) -> bool:
        """Whether a source is in a blocked network."""
        until = self._blocked.find(key) if self.any_blocked else None
        return until is not None and until > now

    def block(self, net: str, until: float, now: float) -> None:
        """Block a network until a time.

        Raises:
            ValueError: `net` is no network, or MAX_COMMANDED_NETWORKS are blocked.
        """
        self._blocked_until = {known: end for known, end in self._blocked_until.items() if end > now}
        if net not in self._blocked_until and len(self._blocked_until) >= MAX_COMMANDED_NETWORKS:
            raise ValueError(f"{MAX_COMMANDED_NETWORKS} networks are blocked already")
        self._blocked.put(net, until)
        self._blocked_until[net], self.any_blocked = until, True

    def unblock(self, net: str) -> bool:
        """Take back a command; False if there was none on just this network. What the file blocks stays."""
        was_blocked = self._blocked_until.pop(net, None) is not None
        self._rebuild()
        return was_blocked

    def trust(self, net: str) -> None:
        """List a network until the process ends, as if the operator's file named it.

        Raises:
            ValueError: `net` is no network, or MAX_COMMANDED_NETWORKS are trusted.
        """
        if net not in self._trusted and len(self._trusted) >= MAX_COMMANDED_NETWORKS:
            raise ValueError(f"{MAX_COMMANDED_NETWORKS} networks are trusted already")
        NetworkMap[None]().put(net, None)  # raises before anything is kept
        self._trusted[net] = None
        self._rebuild()
