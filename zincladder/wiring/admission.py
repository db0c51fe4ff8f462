"""Builds the admission of connections and requests with the limits of the configuration."""

from __future__ import annotations

from zincladder.admission.connection_admission import ConnectionAdmission
from zincladder.admission.descriptor_budget import ELASTIC_POOLS, FIXED_POOLS, DescriptorBudget
from zincladder.admission.interface import Admission, RequestBounds
from zincladder.admission.message_memory import MessageMemory
from zincladder.admission.source_admission import SourceAdmission
from zincladder.config import Config, Operator
from zincladder.config.limits import max_client_connections, message_limits


def build_admission(config: Config, operator: Operator) -> Admission:
    """Returns admission by source if the operator's file enables it, else admission by connection."""
    bounds = RequestBounds(config.max_open_requests, message_limits(config.max_message_bytes).unread)
    if operator.admission is None:
        descriptors = DescriptorBudget(config.sockets, FIXED_POOLS, own=0)
        admission: Admission = ConnectionAdmission(bounds, descriptors)
    else:
        descriptors = DescriptorBudget(config.sockets, ELASTIC_POOLS)
        admission = SourceAdmission(operator.admission, bounds, descriptors, config.seed)
    descriptors.limit_clients(max_client_connections(config))
    return admission


def apply_bounds(admission: Admission, message_memory: MessageMemory, config: Config) -> None:
    """Applies the request limits of a reloaded configuration."""
    limits = message_limits(config.max_message_bytes)
    message_memory.apply_limits(limits)
    admission.descriptors.limit_clients(max_client_connections(config))
    admission.bounds.max_open = config.max_open_requests
    admission.bounds.max_unread_bytes = limits.unread
