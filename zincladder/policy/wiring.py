"""Joins a fleet's policy to the parts of a front: its configuration in force, and its decisions."""

from __future__ import annotations

import os
from dataclasses import replace
from typing import Any

from zincladder import config as configuration
from zincladder.config import Config, ConfigError, Operator, PolicyConfig
from zincladder.config.reload import Reload
from zincladder.core.engine import Core
from zincladder.policy import document
from zincladder.policy.front import FleetPolicy, PolicyHooks


def _operators_file() -> dict[str, Any]:
    path = os.environ.get("ZINCLADDER_OPERATOR")
    return configuration.read_operator(path) if path else {}


class Own:
    """The front's own files, and what the policy lays over them."""

    def __init__(self, config: Config, operator: dict[str, Any]) -> None:
        self.files = document.Files(config.raw, operator)
        self.policy: dict[str, Any] = {}

    def over(self, config: Config, operator: Operator) -> tuple[Config, Operator]:
        if not self.policy:
            return config, operator
        return document.under(replace(self.files, platform=config.raw), self.policy, config)

    def read_again(self) -> None:
        new = document.Files(configuration.load().raw, _operators_file())
        if taken := document.taken(self.files, new, self.policy):
            raise ConfigError(f"'{taken[0]}' is part of the fleet's policy, and is changed there")
        self.files = new


def follow_policy(wanted: PolicyConfig, config: Config, reload: Reload, core: Core) -> FleetPolicy:
    """A front's part in a policy; from now on it decides under a lease only."""
    own = Own(config, _operators_file())

    def check(data: bytes) -> tuple[str, ...]:
        return document.faults(own.files, data, reload.own, reload.limits is not None)

    def apply(data: bytes) -> str:
        if reasons := check(data):
            return reasons[0]
        before, own.policy = own.policy, document.parsed(data)
        try:
            reload.take(reload.own, Operator())  # the operator's part is that of `own`, with the policy on it
        except ConfigError as fault:
            own.policy = before
            return str(fault)
        return ""

    policy = FleetPolicy(wanted, config.name, PolicyHooks(check, apply))
    reload.overlay = own
    core.hold_off = policy.hold_off
    return policy
