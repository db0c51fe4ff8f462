"""The reply that every kind of lease shares. Types only."""

from __future__ import annotations

import msgspec


class NotLeaderReply(msgspec.Struct, frozen=True, array_like=True, tag="elsewhere"):
    """This replica does not lead its group; `leader` names the one that does, if it is known."""

    leader: str
