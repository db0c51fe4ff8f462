"""The answers of the control socket's commands, as types for the front and the command line."""

from __future__ import annotations

from typing import TypedDict


class AdmissionReport(TypedDict):
    """The answer to 'admission.top'."""

    sources: list[dict[str, object]]  # sorted by usage, the highest first
    recorded: int  # number of sources that are tracked
    rate: float  # limit on the admitted work, in seconds of event loop time per second
    pace: float  # measured cost divided by modelled cost
    waiting: int  # messages that wait to be read
    descriptors: dict[str, int]  # descriptors in use, by purpose
    limit: int  # maximum number of descriptors
    turned_away: dict[str, int]  # rejected connections, by reason
    refused: dict[str, int]  # rejected requests, by reason
    penalties: int


class BlockResult(TypedDict):
    """The answer to 'admission.block'."""

    ended: int  # number of idle connections of the network that were closed
