"""Builds the parts of one front, runs them, and stops them in order."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from functools import partial
from typing import TYPE_CHECKING

import anyio
import structlog
from anyio.abc import TaskGroup, TaskStatus

from zincladder.admission.message_memory import MessageMemory
from zincladder.admission.source_admission import SourceAdmission
from zincladder.config import Address, Config, Operator
from zincladder.config.limits import message_limits
from zincladder.config.reload import Reload
from zincladder.core.clock import Clock
from zincladder.core.engine import Core
from zincladder.core.request_classes import RequestClasses
from zincladder.core.sent_requests import SentRequests
from zincladder.handover.host import Handover
from zincladder.handover.sent_ids import SentIdExchange
from zincladder.net.cache_pool import CachePool
from zincladder.net.cache_transport import CacheTransport
from zincladder.net.client_server import ClientServer
from zincladder.net.coordinator_watch import CoordinatorWatch
from zincladder.net.known_events import read_known_events
from zincladder.wiring.admission import apply_bounds, build_admission
from zincladder.wiring.coordinator import apply_settings, apply_update, build_watch, follow_coordinator

if TYPE_CHECKING:
    from zincladder.export.sender import RemoteWrite
    from zincladder.policy.lease_client import FleetPolicy
    from zincladder.tasks.runner import TaskRunner

# Taken before the event loop runs; only the start of the interpreter and earlier imports are not measured.
STARTED_AT = time.monotonic()
# Within this time after the last answer, the last samples are sent and leases are released.
FLUSH_TIMEOUT_SECONDS = 0.5
log = structlog.get_logger()


@dataclass(slots=True)
class ListeningAddresses:
    """The addresses at which a front listens, with the port that the operating system chose for port 0."""

    clients: Address
    dns: Address | None = None
    metrics: Address | None = None
    operators: Address | None = None


class Front:
    """The parts of one front.

    An optional part that the configuration does not enable is None. Its modules are not imported, so that a
    front that does not need it starts faster and uses less memory.
    """

    def __init__(
        self, config: Config, operator: Operator, reload: Reload, rendezvous_directory: str | None
    ) -> None:
        """Builds the parts that every front has, and starts to listen for clients.

        At an upgrade, a process passes its listening socket to the next process of the same front through a
        unix socket in `rendezvous_directory`.
        """
        self.config, self.operator, self.reload = config, operator, reload
        clock, sent_requests = Clock(), SentRequests()
        self.handover = self._build_handover(rendezvous_directory, SentIdExchange(sent_requests, clock.now))
        self.inherited_listener = self.handover.take_over() if self.handover else None
        self.admission = build_admission(config, operator)
        classes = RequestClasses(config.names.classes, config.settings.classes)
        self.message_memory = MessageMemory(message_limits(config.max_message_bytes))
        pool = CachePool(config, self.admission.descriptors, self.message_memory.answers)
        self.caches = CacheTransport(pool, clock.now, classes.names)
        self.core = Core(config.settings, config.seed, self.caches, clock, classes, sent_requests)
        self.last_event = self._apply_known_events()
        # Starts to listen only after the events are applied: requests sent earlier would wait unread.
        self.clients = ClientServer(
            config,
            self.core,
            self.admission,
            self.message_memory,
            self.inherited_listener,
            self._has_successor,
            lambda: pool.answer_memory.is_waited_for,
        )
        self.listening = ListeningAddresses(self.clients.address)
        self.watch: CoordinatorWatch | None = None
        self.policy: FleetPolicy | None = None
        self.tasks: TaskRunner | None = None
        self.remote_writes: list[RemoteWrite] = []

    def _build_handover(self, directory: str | None, sent_ids: SentIdExchange) -> Handover | None:
        _, port = self.config.listen
        return (
            Handover(directory, self.config.listen, self.reload.set_process_count, sent_ids)
            if directory and port
            else None
        )

    def _has_successor(self) -> bool:
        """Returns whether a newer process of this front accepts new clients."""
        return self.handover is not None and self.handover.generations.has_successor

    def _predecessor_runs(self) -> bool:
        """Returns whether the process whose listening socket this one has taken over still runs."""
        return self.handover is not None and self.handover.predecessor_runs

    def _apply_known_events(self) -> int:
        """Applies the events that the configuration holds, and returns the number of the last one."""
        last_event, events = read_known_events(self.config)
        for event in events:
            apply_update(self.core, self.caches.pool, event)
        return last_event

    async def run(self, stopping: anyio.Event, task_status: TaskStatus[ListeningAddresses]) -> None:
        """Runs all parts until `stopping` is set and the last request is answered."""
        async with anyio.create_task_group() as group:
            group.start_soon(self.clients.stop, stopping)
            group.start_soon(self.caches.pool.run)
            group.start_soon(self.core.run)
            self._start_watch(group)
            self._subscribe_to_reloads()
            self._start_handover(group)
            self._start_policy(group)
            self._start_tasks(group, stopping)
            self._start_status_server(group)
            self._start_dns_server(group)
            self._start_command_server(group)
            await self._start_metrics(group)
            self._log_ready()
            task_status.started(self.listening)
            await self.clients.run()
            await self._flush()
            group.cancel_scope.cancel()
        self._log_stopped()

    # Starting -------------------------------------------------------------------------------------

    def _start_watch(self, group: TaskGroup) -> None:
        if self.config.coordinator:
            self.watch = build_watch(
                self.config.coordinator, self.config, self.last_event, self.core, self.caches.pool
            )
            group.start_soon(self.watch.run)

    def _subscribe_to_reloads(self) -> None:
        subscribers: list[Callable[[Config], None]] = [
            partial(apply_settings, self.core),
            self.clients.apply_config,
            self.caches.pool.apply_config,
            partial(apply_bounds, self.admission, self.message_memory),
        ]
        if self.watch:
            subscribers.append(partial(follow_coordinator, self.watch))
        limits = self.admission.apply_limits if isinstance(self.admission, SourceAdmission) else None
        self.reload.connect(subscribers, self.core.counts, limits)

    def _start_handover(self, group: TaskGroup) -> None:
        if self.handover:
            group.start_soon(self.handover.run, self.clients.listener)

    def _start_policy(self, group: TaskGroup) -> None:
        if self.operator.policy:
            from zincladder.wiring.policy import follow_policy

            self.policy = follow_policy(self.operator.policy, self.config, self.reload, self.core)
            group.start_soon(self.policy.run)

    def _start_tasks(self, group: TaskGroup, stopping: anyio.Event) -> None:
        if self.operator.tasks:
            from zincladder.wiring.tasks import build_task_runner

            self.tasks = build_task_runner(self.operator.tasks, self.config.name, self.core)
            group.start_soon(self.tasks.run, stopping)

    def _start_status_server(self, group: TaskGroup) -> None:
        if self.config.control:
            from zincladder.wiring.status import build_status_server

            server = build_status_server(
                self.config.control, self.core, self.clients, self.admission, self.policy, self.tasks
            )
            self.listening.operators = server.address
            group.start_soon(server.run)

    def _start_dns_server(self, group: TaskGroup) -> None:
        if self.operator.dns:
            from zincladder.wiring.dns import build_dns_server

            server = build_dns_server(self.operator.dns, self.core, self.caches, self.admission)
            self.listening.dns = server.address
            group.start_soon(server.run)

    def _start_command_server(self, group: TaskGroup) -> None:
        if self.operator.control:
            from zincladder.wiring.commands import build_command_server

            is_upgrade = self.handover is not None and self.handover.found_predecessor
            server = build_command_server(self.operator.control, self.admission, replaces=is_upgrade)
            group.start_soon(server.run)

    async def _start_metrics(self, group: TaskGroup) -> None:
        if not (self.operator.metrics or self.operator.remote_write):
            return
        from zincladder.wiring.metrics import build_exporter, build_registry, build_remote_writes

        registry = build_registry(
            self.config.name, self.core, self.admission, self.reload, self.watch, self.policy, self.tasks
        )
        if self.operator.metrics:
            exporter = build_exporter(self.operator.metrics, registry, self.admission)
            self.listening.metrics = await group.start(exporter.run)
        if self.operator.remote_write:
            self.remote_writes = build_remote_writes(
                self.operator.remote_write, registry, self.core, self._predecessor_runs
            )
            for remote_write in self.remote_writes:
                group.start_soon(remote_write.run)

    # Stopping -------------------------------------------------------------------------------------

    async def _flush(self) -> None:
        """Sends the last samples and releases leases, each within FLUSH_TIMEOUT_SECONDS.

        The platform may send SIGKILL before this ends. All requests are answered by then.
        """
        async with anyio.create_task_group() as group:
            for remote_write in self.remote_writes:
                group.start_soon(remote_write.finish, FLUSH_TIMEOUT_SECONDS)
            if self.policy:
                group.start_soon(self.policy.end, FLUSH_TIMEOUT_SECONDS)
            if self.tasks:
                group.start_soon(self.tasks.end, FLUSH_TIMEOUT_SECONDS)

    # Logging --------------------------------------------------------------------------------------

    def _log_ready(self) -> None:
        log.info(
            "ready",
            name=self.config.name,
            startup_s=round(time.monotonic() - STARTED_AT, 3),
            last_known_event=self.last_event,
            endpoints=len(self.core.endpoint_list.endpoints),
            memory_mb=self.config.memory_mb,
            sockets=self.config.sockets,
            max_open_requests=self.config.max_open_requests,
            **asdict(self.listening),
        )

    def _log_stopped(self) -> None:
        counts = self.core.counts.items()
        log.info(
            "front stopped", answers={kind: count for (group, kind), count in counts if group == "answers"}
        )


async def run_front(
    config: Config,
    operator: Operator,
    stopping: anyio.Event,
    *,
    reload: Reload | None = None,
    rendezvous_directory: str | None = None,
    task_status: TaskStatus[ListeningAddresses] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs a front until `stopping` is set and all accepted requests are answered.

    Reports the listening addresses through `task_status` once the front is ready. Raises ConfigError if a
    known event in the configuration is invalid, and an exception group with a ConfigError if a spool cannot
    be used.
    """
    front = Front(config, operator, reload or Reload(config), rendezvous_directory)
    await front.run(stopping, task_status)
