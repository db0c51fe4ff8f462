"""Admission of connections and requests, as the configuration bounds it."""

from __future__ import annotations

from zincladder.admission.gate import Gate
from zincladder.admission.interface import Admission, Bounds
from zincladder.admission.ledger import PLAIN, SHARED, Ledger
from zincladder.admission.plain import Plain
from zincladder.config import Config, Operator


def build_admission(config: Config, operator: Operator) -> Admission:
    """Admission by source where the operator's file turns it on, else by connection."""
    bounds = Bounds(config.max_open_requests, config.max_unread_bytes)
    if operator.admission is None:
        return Plain(bounds, Ledger(config.sockets, PLAIN, own=0))
    return Gate(operator.admission, bounds, Ledger(config.sockets, SHARED), config.seed)


def apply_bounds(admission: Admission, config: Config) -> None:
    """Take the bounds of a configuration that was reloaded."""
    admission.bounds.most_open = config.max_open_requests
    admission.bounds.most_unread = config.max_unread_bytes
