"""What the commands of the control socket answer, as the front and the command line both name it."""

from __future__ import annotations

from typing import TypedDict


class AdmissionReport(TypedDict):
    """The answer to 'admission.top'."""

    sources: list[dict[str, object]]  # those that use most, first
    recorded: int  # sources on record
    rate: float  # loop seconds a second that are admitted at most
    pace: float
    waiting: int  # messages that wait for their turn
    descriptors: dict[str, int]  # held, by their use
    limit: int  # of descriptors
    turned_away: dict[str, int]  # connections rejected, by reason
    refused: dict[str, int]  # requests rejected, by reason
    penalties: int


class BlockResult(TypedDict):
    """The answer to 'admission.block'."""

    ended: int  # idle connections of the network
