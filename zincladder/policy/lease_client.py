"""A front's side of the fleet's policy: renews its lease, and applies the policy to the front. Uses anyio.

Imported only if the operator's file has [policy].
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import structlog

from zincladder.config import PolicyConfig
from zincladder.leases.client import LeaseClient
from zincladder.links.clocks import boottime
from zincladder.policy.model import FromCoordinator
from zincladder.policy.participant import ChangeParticipant

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class PolicyHooks:
    """The functions by which a front validates and applies a document; an empty result means success."""

    validate: Callable[[bytes], tuple[str, ...]]  # returns why the front can't serve under the document
    apply: Callable[[bytes], str]  # returns why it failed


class FleetPolicy(LeaseClient[ChangeParticipant]):
    """The policy client of one process of a front."""

    role = "front"
    messages = FromCoordinator

    def __init__(
        self, config: PolicyConfig, name: str, hooks: PolicyHooks, clock: Callable[[], float] = boottime
    ) -> None:
        participant = ChangeParticipant(clock(), config.serves_when_cut_off)
        super().__init__(participant, config.group, config.replicas, name, clock)
        self._hooks = hooks
        self.rejected = 0  # requests rejected because there was no version to serve under

    # Queries of the front -------------------------------------------------------------------------

    def decisions_paused_for(self) -> float:
        """Returns 0 while this front may serve; else the seconds after which a client may retry.

        If this front may not serve, the call adds one to the number of rejected requests.
        """
        now = self.clock()
        if self.participant.serving_version(now):
            return 0.0
        self.rejected += 1
        return self.participant.retry_after_seconds(now)

    def not_ready_reason(self) -> str:
        """Returns why this front can't serve now; empty if it can."""
        participant = self.participant
        if participant.serving_version(self.clock()):
            return ""
        for reason in participant.failed_documents.values():
            return f"the fleet's policy can't be taken: {reason}"
        if not participant.version:
            return "no policy of the fleet yet" if participant.linked else "no keeper has been reached yet"
        if participant.linked:
            return "the fleet's policy is changing"
        return "the lease on the fleet's policy has run out"

    def figures(self) -> dict[str, float]:
        """Returns the values for STATS and metrics.

        `version` is the version that this front serves under (0 if it may not serve), `lease` the seconds
        until its lease expires, and `refused` the number of requests that were rejected because there was no
        version to serve under.
        """
        now = self.clock()
        return {
            "version": float(self.participant.serving_version(now)),
            "lease": round(self.participant.lease_seconds_left(now), 3),
            "linked": float(self.participant.linked),
            "refused": float(self.rejected),
        }

    # Running --------------------------------------------------------------------------------------

    async def run(self) -> None:
        """Keeps a link to the leader and renews the lease, until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.renew_when_due)
            await self.leader.run()

    def carry_out(self) -> None:
        """Carries out the participant's actions, then those that result from them, until none are left."""
        while True:
            actions = self.participant.take_actions()
            for message in actions.messages:
                self.leader.send_queue.put(message)
            for request in actions.validate:
                self.participant.validated(request, self._validate(request.content))
            for document, content in actions.apply:
                self._apply(document, content)
            if not (actions.messages or actions.validate or actions.apply):
                return
            self.wake()

    def _validate(self, content: bytes) -> tuple[str, ...]:
        try:
            return self._hooks.validate(content)
        except Exception as error:  # a document must not be able to end the fronts that check it
            log.exception("policy could not be checked")
            return (f"it could not be checked: {type(error).__name__}",)

    def _apply(self, document: str, content: bytes) -> None:
        try:
            failure = self._hooks.apply(content)
        except Exception as error:  # the front serves on under no lease rather than end
            log.exception("policy could not be applied")
            failure = f"it could not be applied: {type(error).__name__}"
        self.participant.applied(document, failure)
        if failure:
            log.error("policy not applied", reason=failure)
        else:
            log.info("policy applied", version=self.participant.version, document=document)
