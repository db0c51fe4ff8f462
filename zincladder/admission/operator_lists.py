"""Networks that the operator has listed or blocked, in the operator's file or by command."""

from __future__ import annotations

from zincladder.admission.model import AdmissionLimits, ListedNetwork
from zincladder.admission.networks import NetworkMap

MAX_COMMANDED_NETWORKS = 1024  # maximum of networks blocked by command, and also of those trusted by command


class OperatorLists:
    """The listed and blocked networks.

    Changes by command last until the process ends and are kept when the operator's file is reloaded.
    """

    def __init__(self, limits: AdmissionLimits) -> None:
        self._limits = limits
        self._trusted: dict[str, None] = {}  # networks trusted by command, as an ordered set
        self._blocked_until: dict[str, float] = {}  # networks blocked by command, with the end of the block
        self.has_listed_networks = self.has_blocked_networks = False
        self._rebuild()

    def apply_limits(self, limits: AdmissionLimits) -> None:
        """Replace the networks of the operator's file after it was reloaded."""
        self._limits = limits
        self._rebuild()

    def _rebuild(self) -> None:
        self.listed_networks: NetworkMap[ListedNetwork] = NetworkMap()
        self._blocked: NetworkMap[float] = NetworkMap()  # values are the times at which the blocks end
        for network in self._limits.networks:
            self.listed_networks.put(network.net, network)
        for net in self._trusted:
            self.listed_networks.put(net, ListedNetwork(net))
        for net in self._limits.blocked:
            self._blocked.put(net, float("inf"))
        for net, until in self._blocked_until.items():
            self._blocked.put(net, until)
        self.has_listed_networks, self.has_blocked_networks = (
            bool(len(self.listed_networks)),
            bool(len(self._blocked)),
        )

    def is_blocked(self, key: int, now: float) -> bool:
        """Return whether a source is in a blocked network."""
        until = self._blocked.find(key) if self.has_blocked_networks else None
        return until is not None and until > now

    def block(self, net: str, until: float, now: float) -> None:
        """Block a network until the time `until`.

        Raises:
            ValueError: `net` is not a network, or MAX_COMMANDED_NETWORKS are blocked by command already.
        """
        self._blocked_until = {known: end for known, end in self._blocked_until.items() if end > now}
        if net not in self._blocked_until and len(self._blocked_until) >= MAX_COMMANDED_NETWORKS:
            raise ValueError(f"{MAX_COMMANDED_NETWORKS} networks are blocked already")
        self._blocked.put(net, until)
        self._blocked_until[net], self.has_blocked_networks = until, True

    def unblock(self, net: str) -> bool:
        """Remove a block that was set by command; a block in the operator's file stays.

        Returns False if exactly this network was not blocked by command.
        """
        was_blocked = self._blocked_until.pop(net, None) is not None
        self._rebuild()
        return was_blocked

    def trust(self, net: str) -> None:
        """List a network until the process ends, as if it were listed in the operator's file.

        Raises:
            ValueError: `net` is not a network, or MAX_COMMANDED_NETWORKS are trusted already.
        """
        if net not in self._trusted and len(self._trusted) >= MAX_COMMANDED_NETWORKS:
            raise ValueError(f"{MAX_COMMANDED_NETWORKS} networks are trusted already")
        NetworkMap[None]().put(net, None)  # raises ValueError before the network is stored
        self._trusted[net] = None
        self._rebuild()
