"""What one router knows, shared by its rules. No I/O."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from zincladder.routing import interface as api
from zincladder.routing.budgets import OriginFillBudget, RetryBudget
from zincladder.routing.capacity import CoresEstimate, TransferTimeEstimate
from zincladder.routing.endpoints import EndpointTable
from zincladder.routing.fill_throttle import FillThrottles
from zincladder.routing.purges import Purges


class RouterState:
    """The settings, the endpoint list, the budgets and what was learned; no two routers share any of it."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random = Random(seed)
        self.endpoints = EndpointTable()
        self.retry_budget = RetryBudget()
        self.origin_budget = OriginFillBudget()
        self.purges = Purges()
        self.cores = CoresEstimate()  # of one cache, where weights are not listed
        self.transfer_times: list[TransferTimeEstimate] = []  # by class
        self.sibling_hit_share = 1.0  # moving average: of the fills asked of sibling caches, those that hit
        self.median_slowdown = 1.0  # of the location's caches
        self.location_link_load = 0.0  # transfers on the location's link over those at full pace, as reported
        self.apply_settings(api.SettingsChanged(settings, (-1,) * len(settings.classes)))

    def apply_settings(self, event: api.SettingsChanged) -> None:
        """Other settings from now on.

        What was learned of a class that stays goes on; the fill throttles start anew.
        """
        self.settings = settings = event.settings
        self.transfer_times = [
            replace(self.transfer_times[index]) if index >= 0 else TransferTimeEstimate()
            for index in event.learned
        ]
        longest_timeout = max((request_class.timeout for request_class in settings.classes), default=0.0)
        self.fill_throttles = FillThrottles(longest_timeout)
        self.zone_routers = max(1, *settings.routers_by_zone[settings.zone : settings.zone + 1], 1)
        self.endpoints.assign_roles(settings)

    def estimate_transfer(self, request: api.Request, request_class: api.RequestClass) -> float:
        """The seconds for which an answer is being sent, without waits; the request counts for its class."""
        estimate = self.transfer_times[request.request_class]
        pace = self.settings.client_kb_per_s
        if request.size_kb > 0 and pace > 0:
            seconds = request.size_kb / pace
            estimate.record_sized(seconds)
            return seconds
        return estimate.expect_unsized(request_class.latency_objective)
