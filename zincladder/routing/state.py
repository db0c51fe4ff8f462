"""The state of one router, shared by the modules of this package. No I/O."""

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
    """Settings, endpoint list, budgets and estimates of one router; routers share none of them."""

    def __init__(self, settings: api.Settings, seed: int) -> None:
        self.random = Random(seed)
        self.endpoints = EndpointTable()
        self.retry_budget = RetryBudget()
        self.origin_budget = OriginFillBudget()
        self.purges = Purges()
        self.cores = CoresEstimate()  # capacity of one cache, used if the list has no weights
        self.transfer_times: list[TransferTimeEstimate] = []  # by class
        self.sibling_hit_share = 1.0  # moving average: share of the fills from sibling caches that hit
        self.median_slowdown = 1.0  # of the location's caches
        # Last reported load of the location's link: transfers in progress, divided by the link's capacity.
        self.location_link_load = 0.0
        self.apply_settings(api.SettingsChanged(settings, (-1,) * len(settings.classes)))

    def apply_settings(self, event: api.SettingsChanged) -> None:
        """Puts new settings into effect.

        A class that existed before keeps its estimates; the fill throttles are reset.
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
        """Returns the seconds that sending the answer takes at the client's rate, without any waiting.

        A request of known size counts towards the mean transfer time of its class; for any other request that
        mean is returned.
        """
        estimate = self.transfer_times[request.request_class]
        kb_per_s = self.settings.client_kb_per_s
        if request.size_kb > 0 and kb_per_s > 0:
            seconds = request.size_kb / kb_per_s
            estimate.record_sized(seconds)
            return seconds
        return estimate.expect_unsized(request_class.latency_objective)
