"""One real front: wires the parts together and runs them until SIGTERM."""

from __future__ import annotations

import sys

# structlog takes rich in where it finds it, for tracebacks in colours that the daemon does not draw: 4 MB of
# the 32 that it may have, and 70 ms of each start. The commands, which need it, find it again.
sys.modules.setdefault("rich", None)  # type: ignore[arg-type]

import gc
import logging
import os
import signal
import time
from collections.abc import Iterator
from dataclasses import asdict, dataclass
from functools import partial
from typing import TYPE_CHECKING

import anyio
import structlog
from anyio.abc import TaskStatus

from zincladder import config as configuration
from zincladder.admission.gate import Gate
from zincladder.admission.interface import Admission, Bounds
from zincladder.admission.ledger import PLAIN, SHARED, Ledger
from zincladder.admission.plain import Plain
from zincladder.config.reload import Reload
from zincladder.core.clock import Clock
from zincladder.core.engine import Core
from zincladder.core.request_classes import RequestClasses
from zincladder.discovery.freshness import Freshness
from zincladder.handover.host import Handover
from zincladder.net.caches import Caches
from zincladder.net.client_listener import listener
from zincladder.net.clients import Clients
from zincladder.net.events import Listed, News, known_news
from zincladder.net.feed import Feed
from zincladder.routing import interface as api
from zincladder.support.rate_limited_log import RateLimitedLog

if TYPE_CHECKING:
    from zincladder.export.sender import RemoteWrite
    from zincladder.ownership.worker import Worker
    from zincladder.policy.front import FleetPolicy
if sys.modules["rich"] is None:
    del sys.modules["rich"]
BEGAN = time.monotonic()  # before the event loop runs; only the interpreter and the imports come earlier
LIST_LINES = 0.1  # seconds between two lines on changes of the list
MOST_NAMED = 16  # members that one log line names
FLUSH = 0.5  # seconds after the last answer for the last samples to be sent
log = structlog.get_logger()


def log_change(news: Listed, lines: RateLimitedLog) -> None:
    """Logs which members a change to the list concerns, as far as one line names them."""
    named = {
        state.name.lower(): [m.id.decode("latin-1") for m, _ in news.endpoints if m.state is state][
            :MOST_NAMED
        ]
        for state in api.EndpointState
    }
    lines.info("list changed", version=news.version, entries=len(news.endpoints), **named)


def tell(core: Core, caches: Caches, news: News) -> None:
    """Hands one event of the coordinator to the parts that it concerns."""
    if not isinstance(news, Listed):
        core.purge(news.object, news.group, news.made)
        return
    if news.whole:
        caches.keep_only({endpoint.id for endpoint, _ in news.endpoints})
    for endpoint, where in news.endpoints:
        if endpoint.state is api.EndpointState.GONE:
            caches.forget(endpoint.id)
        else:
            caches.know(endpoint.id, where)
    kind = api.UpdateKind.FULL if news.whole else api.UpdateKind.DELTA
    core.update_endpoints(kind, news.version, tuple(endpoint for endpoint, _ in news.endpoints))


async def run(config: configuration.Config, operator: configuration.Operator) -> None:
    """Runs a front; SIGTERM ends it in order, and what was taken is answered first. SIGHUP reloads."""
    stopping, reload = anyio.Event(), Reload(config)
    folder = os.environ.get("TMPDIR")
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
        async with anyio.create_task_group() as tasks:

            async def listen() -> None:
                async for number in signals:
                    if number == signal.SIGHUP:
                        reload()
                    else:
                        stopping.set()

            tasks.start_soon(listen)
            await front(config, operator, stopping, reload=reload, folder=folder)
            tasks.cancel_scope.cancel()


def admission_of(config: configuration.Config, operator: configuration.Operator) -> Admission:
    """By source where the operator's file says so; else by connection, as the platform's clients need it."""
    bounds = Bounds(config.most_open, config.most_unread)
    if operator.admission is None:
        return Plain(bounds, Ledger(config.sockets, PLAIN, own=0))
    return Gate(operator.admission, bounds, Ledger(config.sockets, SHARED), config.seed)


def bound(admission: Admission, config: configuration.Config) -> None:
    admission.bounds.most_open, admission.bounds.most_unread = config.most_open, config.most_unread


def least_grace(settings: api.Settings) -> float:
    """The least time in seconds from news of the fleet to the moment from which it has to be kept."""
    return min(settings.drain_grace, settings.purge_grace)


def retune(core: Core, config: configuration.Config) -> None:
    core.apply_settings(config.settings, config.names.classes)
    if core.endpoint_list.freshness is not None:
        core.endpoint_list.freshness.min_grace_seconds = least_grace(config.settings)


def follow(feed: Feed, config: configuration.Config) -> None:
    if config.coordinator:
        feed.follow(config.coordinator)


@dataclass(frozen=True, slots=True)
class Listening:
    """Where a front that is ready listens; a port of 0 in the configuration is the system's choice."""

    clients: tuple[str, int]
    dns: tuple[str, int] | None = None
    metrics: tuple[str, int] | None = None
    operators: tuple[str, int] | None = None


async def front(
    config: configuration.Config,
    operator: configuration.Operator,
    stopping: anyio.Event,
    *,
    reload: Reload | None = None,
    folder: str | None = None,
    task_status: TaskStatus[Listening] = anyio.TASK_STATUS_IGNORED,
) -> None:
    """Runs all parts until the client side has ended. In `folder` it meets the next process at an upgrade."""
    clock, reload = Clock(), reload or Reload(config)
    handover = Handover(folder, config.listen, reload.share) if folder and config.listen[1] else None
    listening_socket = handover.ask() if handover else None
    admission = admission_of(config, operator)
    classes = RequestClasses(config.names.classes, config.settings.classes)
    caches = Caches(config, clock.now, admission.ledger, classes.names)
    core = Core(config.settings, config.seed, caches, clock, classes)
    last, events = known_news(config)
    for news in events:
        tell(core, caches, news)
    # Listens only now: what clients send while the list is taken in would wait unread.
    clients = Clients(config, core, admission, listening_socket)
    feed: Feed | None = None
    where_dns = where_metrics = where_control = None
    pushes: list[RemoteWrite] = []
    policy: FleetPolicy | None = None
    worker: Worker | None = None
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(clients.stop, stopping)
        tasks.start_soon(caches.run)
        tasks.start_soon(core.run)
        if config.coordinator:
            lines = RateLimitedLog(LIST_LINES)

            def told(news: News) -> None:
                if isinstance(news, Listed):
                    log_change(news, lines)
                tell(core, caches, news)

            core.endpoint_list.freshness = Freshness(least_grace(config.settings))
            feed = Feed(
                config.coordinator,
                last,
                told,
                config.seed,
                core.endpoint_list.freshness,
                core.endpoint_list.notify_changed,
            )
            core.endpoint_list.poll_watch_events = feed.look
            tasks.start_soon(feed.run)
        reload.parts += [partial(retune, core), clients.use, caches.use, partial(bound, admission)]
        reload.counts = core.counts
        reload.limits = admission.use if isinstance(admission, Gate) else None
        if feed:
            reload.parts.append(partial(follow, feed))
        if handover:
            clients.succeeded = lambda: handover.companions.succeeded
            tasks.start_soon(handover.run, clients.listener)
        if operator.policy:
            from zincladder.policy.wiring import follow_policy

            policy = follow_policy(operator.policy, config, reload, core)
            tasks.start_soon(policy.run)
        if operator.duties:
            from zincladder.ownership.wiring import work_for_fleet

            worker = work_for_fleet(operator.duties, config.name, core)
            tasks.start_soon(worker.run, stopping)
        if config.control:
            from zincladder.control.address import OperatorAddress
            from zincladder.control.calls import Calls
            from zincladder.control.figures import figures
            from zincladder.control.readiness import Readiness

            readiness = Readiness(
                core.endpoint_list.ready_count, core.endpoint_list.has_synced, lambda: clients.stopping
            )
            readiness.more = policy.lacks if policy else readiness.more
            calls = Calls(
                readiness.lacks,
                lambda: figures(core, policy=policy, duty=worker),
            )
            operators = OperatorAddress(
                listener(config.control), calls, admission.ledger, RateLimitedLog().warning
            )
            where_control = operators.address
            tasks.start_soon(operators.run)
        if operator.dns:
            # Imported here: a front without it starts sooner after a restart.
            from zincladder.dns.answers import Answers
            from zincladder.dns.server import DnsServer

            answers = Answers(operator.dns, core, caches.where)
            server = DnsServer(
                operator.dns.listen, answers, clock, admission, core.endpoint_list.wait_until_synced
            )
            where_dns = server.address
            tasks.start_soon(server.run)
        if operator.control:
            from zincladder.control.commands import AdmissionCommands
            from zincladder.control.server import ControlServer

            table = AdmissionCommands(admission).table
            upgrade = listening_socket is not None
            control = ControlServer(operator.control, table, admission.ledger, upgrade)
            tasks.start_soon(control.run)
        if operator.metrics or operator.remote_write:
            from zincladder.metrics.exporter import MetricsExporter
            from zincladder.metrics.registry import Registry

            registry = Registry(
                core,
                config.name,
                lambda: feed is not None and feed.connected,
                admission,
                lambda: reload.processes,
                policy.figures if policy else dict,
                worker.figures if worker else dict,
            )
            if operator.metrics:
                where_metrics = await tasks.start(MetricsExporter(operator.metrics, registry, admission).run)
            if operator.remote_write:
                from zincladder.export.sender import RemoteWrite

                def count(outcome: str, many: int) -> None:
                    core.counts["remote_write", outcome] += many

                pushes = [RemoteWrite(to, registry.samples, count) for to in operator.remote_write]
                for push in pushes:
                    tasks.start_soon(push.run)
        listening = Listening(clients.address, where_dns, where_metrics, where_control)
        log.info(
            "ready",
            name=config.name,
            startup_s=round(time.monotonic() - BEGAN, 3),
            known=last,
            endpoints=len(core.endpoint_list.endpoints),
            memory_mb=config.memory_mb,
            sockets=config.sockets,
            most_open=config.most_open,
            **asdict(listening),
        )
        task_status.started(listening)
        await clients.run()
        async with anyio.create_task_group() as flushing:
            for push in pushes:
                flushing.start_soon(push.finish, FLUSH)
            if policy:
                flushing.start_soon(policy.end, FLUSH)
            if worker:
                flushing.start_soon(worker.end, FLUSH)
        tasks.cancel_scope.cancel()
    log.info("ended", answers={k[1]: n for k, n in core.counts.items() if k[0] == "answers"})


def _leaves(group: BaseExceptionGroup[BaseException]) -> Iterator[BaseException]:
    for fault in group.exceptions:
        if isinstance(fault, BaseExceptionGroup):
            yield from _leaves(fault)
        else:
            yield fault


def main() -> int:
    """The process: 0 after an orderly stop, 2 on a configuration that cannot be used."""
    if len(sys.argv) > 1:  # a command; the front itself takes no arguments
        from zincladder.cli import main as command

        command(prog_name="zincladder")
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    try:
        config = configuration.load()
        operator = configuration.load_operator(config.names)
        known_news(config)
    except configuration.ConfigError as fault:
        log.error("bad configuration", why=str(fault))
        return 2
    gc.freeze()  # what lives as long as the process is not looked at again, and the rest less often
    gc.set_threshold(5000, 20, 20)
    # uvloop: the wide day asks for up to 950 requests a second of part of a core.
    try:
        anyio.run(run, config, operator, backend_options={"use_uvloop": True})
    except BaseExceptionGroup as group:
        bad, rest = group.split(configuration.ConfigError)
        if bad is None or rest is not None:
            raise
        log.error("bad configuration", why=str(next(_leaves(bad))))
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
