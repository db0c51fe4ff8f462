"""The reply that all kinds of leases have in common. Types only."""

from __future__ import annotations

import msgspec


class NotLeaderReply(msgspec.Struct, frozen=True, array_like=True, tag="elsewhere"):
    """The replica does not lead its group. `leader` is the name of the leader; empty if it is unknown."""

    leader: str
