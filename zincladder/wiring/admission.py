"""Builds the admission of connections and requests with the limits of the configuration."""

from __future__ import annotations

from zincladder.admission.connection_admission import ConnectionAdmission
from zincladder.admission.descriptor_budget import ELASTIC_POOLS, FIXED_POOLS, DescriptorBudget
from zincladder.admission.interface import Admission, RequestBounds
from zincladder.admission.source_admission import SourceAdmission
from zincladder.config import Config, Operator


def build_admission(config: Config, operator: Operator) -> Admission:
    """Returns admission by source if the operator's file enables it, else admission by connection."""
    bounds = RequestBounds(config.max_open_requests, config.max_unread_bytes)
    if operator.admission is None:
        return ConnectionAdmission(bounds, DescriptorBudget(config.sockets, FIXED_POOLS, own=0))
    return SourceAdmission(
        operator.admission, bounds, DescriptorBudget(config.sockets, ELASTIC_POOLS), config.seed
    )


def apply_bounds(admission: Admission, config: Config) -> None:
    """Applies the request limits of a reloaded configuration."""
    admission.bounds.max_open = config.max_open_requests
    admission.bounds.max_unread_bytes = config.max_unread_bytes
