"""Builds the server that answers READY and STATS. Imported only if the configuration names its address."""

from __future__ import annotations

from typing import TYPE_CHECKING

from zincladder.admission.interface import Admission
from zincladder.config import Address
from zincladder.control.readiness import Readiness
from zincladder.control.statistics import Section, front_statistics
from zincladder.control.status_calls import StatusCalls
from zincladder.control.status_server import StatusServer
from zincladder.core.engine import Core
from zincladder.net.client_server import ClientServer
from zincladder.support.listeners import open_listener
from zincladder.support.rate_limited_log import RateLimitedLog

if TYPE_CHECKING:
    from zincladder.policy.lease_client import FleetPolicy
    from zincladder.tasks.runner import TaskRunner

# Sections of the answer to STATS: the name of a section is the prefix of its values' names.
POLICY_SECTION, TASKS_SECTION = "policy", "duty"


def build_status_server(
    listen: Address,
    core: Core,
    clients: ClientServer,
    admission: Admission,
    policy: FleetPolicy | None,
    tasks: TaskRunner | None,
) -> StatusServer:
    """Returns a server that already listens; its `run` answers calls."""
    readiness = Readiness(
        core.endpoint_list.ready_count,
        core.endpoint_list.has_synced,
        lambda: clients.stopping,
        policy.not_ready_reason if policy else str,
    )
    sections: dict[str, Section] = {}
    if policy:
        sections[POLICY_SECTION] = policy.figures
    if tasks:
        sections[TASKS_SECTION] = tasks.figures
    calls = StatusCalls(readiness.missing, lambda: front_statistics(core, sections))
    return StatusServer(open_listener(listen), calls, admission.descriptors, RateLimitedLog().warning)
