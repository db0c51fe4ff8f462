"""A process's part in the fleet's singleton tasks: its link to the leader, and the tasks that it runs.

Uses anyio. Imported only if the operator's file has `[duties]`.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

import anyio
import anyio.abc
import structlog

from zincladder.config import TasksConfig
from zincladder.consensus.client import Client
from zincladder.consensus.errors import OutcomeUnknownError, RequestFailedError
from zincladder.leases.client import LeaseClient
from zincladder.links.clocks import boottime
from zincladder.tasks.context import TaskContext, TaskFunction
from zincladder.tasks.errors import LeaseLostError
from zincladder.tasks.lease_holder import LeaseHolder
from zincladder.tasks.model import FromLeaseManager, ReportCounters

# The delay before a task that failed or returned is started again. It doubles each time, up to the maximum,
# and is multiplied by a random factor; after a lost lease it is the minimum.
MIN_BACKOFF_SECONDS, MAX_BACKOFF_SECONDS = 0.2, 5.0
REPORT_INTERVAL_SECONDS = 2.0
log = structlog.get_logger()


class TaskRunner(LeaseClient[LeaseHolder]):
    """Runs the singleton tasks that are assigned to one process."""

    role = "worker"
    messages = FromLeaseManager

    def __init__(
        self,
        config: TasksConfig,
        name: str,
        functions: Mapping[str, TaskFunction],
        counters: Callable[[], dict[str, float]],
        clock: Callable[[], float] = boottime,
    ) -> None:
        self._config, self._name = config, name
        self._functions, self._counters = dict(functions), counters
        lease_holder = LeaseHolder(self._functions, clock())
        super().__init__(lease_holder, config.group, config.replicas, name, clock)
        self._scopes: dict[str, anyio.CancelScope] = {}  # one for each running task, by its name
        self._tasks: anyio.abc.TaskGroup | None = None
        self.failures = self.fenced = 0

    def active_token(self, task: str) -> int:
        """Returns the token under which this process may act on a task now; 0 if it may not."""
        return self.participant.active_token(task, self.clock())

    def client(self) -> Client:
        """Returns a client of the group."""
        return Client(self._config.group, self._config.replicas, self._name)

    def figures(self) -> dict[str, float]:
        """Returns the values for STATS and metrics.

        `owned` is the number of tasks with a valid lease, `lease` the seconds until the first of these leases
        expires (0 if there is none), `failures` the number of runs that failed, and `fenced` the number of
        writes that were rejected because of an outdated token.
        """
        now, lease_holder = self.clock(), self.participant
        seconds_left = [
            lease_holder.lease_seconds_left(task, now)
            for task in lease_holder.leases
            if lease_holder.active_token(task, now)
        ]
        return {
            "owned": float(len(seconds_left)),
            "lease": round(min(seconds_left, default=0.0), 3),
            "linked": float(lease_holder.linked),
            "failures": float(self.failures),
            "fenced": float(self.fenced),
        }

    # Running --------------------------------------------------------------------------------------

    async def run(self, stopping: anyio.Event) -> None:
        """Runs until it is cancelled. Once `stopping` is set it releases all leases and offers no task."""
        async with anyio.create_task_group() as self._tasks:
            self._tasks.start_soon(self.renew_when_due)
            self._tasks.start_soon(self._report_counters)
            self._tasks.start_soon(self._leave_when_stopping, stopping)
            await self.leader.run()

    async def _leave_when_stopping(self, stopping: anyio.Event) -> None:
        await stopping.wait()
        self.participant.leave()
        self.carry_out()

    async def _report_counters(self) -> None:
        while True:
            if self.participant.linked:
                self.leader.send_queue.put(ReportCounters(self._counters()))
            # Jitter spreads the reports of a fleet over time.
            await anyio.sleep(REPORT_INTERVAL_SECONDS * (0.9 + 0.2 * self.random.random()))

    def carry_out(self) -> None:
        """Carries out the lease holder's actions: stops and starts tasks, and sends messages."""
        actions = self.participant.take_actions()
        for task in actions.end:
            if scope := self._scopes.pop(task, None):
                scope.cancel()
        for message in actions.messages:
            self.leader.send_queue.put(message)
        for task in actions.begin:
            assert self._tasks is not None
            scope = self._scopes[task] = anyio.CancelScope()
            self._tasks.start_soon(self._run_task, task, scope)

    async def _run_task(self, task: str, scope: anyio.CancelScope) -> None:
        """Runs a task as long as this process holds its lease; starts it again when it fails or returns."""
        log.info("task started", task=task, token=self.active_token(task))
        backoff = MIN_BACKOFF_SECONDS
        with scope:
            while self.active_token(task):
                try:
                    await self._functions[task](TaskContext(self, task))
                except LeaseLostError:
                    # The lease may have expired just before this process handles its expiry or renewal.
                    await anyio.sleep(MIN_BACKOFF_SECONDS)
                    continue
                except (RequestFailedError, OutcomeUnknownError) as error:
                    log.info("task interrupted: replica group unavailable", task=task, reason=str(error))
                except Exception:
                    self.failures += 1
                    log.exception(
                        "task raised an exception; it is restarted while its lease lasts", task=task
                    )
                await anyio.sleep(backoff * (0.5 + self.random.random()))
                backoff = min(MAX_BACKOFF_SECONDS, 2 * backoff)
        log.info("task stopped", task=task)
        if self._scopes.get(task) is scope:
            del self._scopes[task]
