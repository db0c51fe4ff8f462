"""Connects the fleet's policy to a front's configuration, and its lease to the front's core."""

from __future__ import annotations

import os
from dataclasses import replace
from typing import Any

from zincladder import config as configuration
from zincladder.config import Config, ConfigError, Operator, PolicyConfig
from zincladder.config.reload import Reload
from zincladder.core.engine import Core
from zincladder.policy import document
from zincladder.policy.lease_client import FleetPolicy, PolicyHooks


def _read_operator_file() -> dict[str, Any]:
    path = os.environ.get("ZINCLADDER_OPERATOR")
    return configuration.read_operator(path) if path else {}


class PolicyOverlay:
    """The front's own files, and the policy whose values take precedence over them."""

    def __init__(self, config: Config, operator: dict[str, Any]) -> None:
        self.files = document.FrontFiles(config.raw, operator)
        self.policy: dict[str, Any] = {}

    def apply_policy(self, config: Config, operator: Operator) -> tuple[Config, Operator]:
        """Returns the configuration and the operator's file with the policy applied. Raises ConfigError."""
        if not self.policy:
            return config, operator
        return document.configuration_under(replace(self.files, platform=config.raw), self.policy, config)

    def reread_files(self) -> None:
        """Reads the front's own files again, at SIGHUP.

        Raises ConfigError if a key that the policy sets has changed in them.
        """
        new = document.FrontFiles(configuration.load().raw, _read_operator_file())
        if overridden := document.overridden_keys(self.files, new, self.policy):
            raise ConfigError(f"'{overridden[0]}' is part of the fleet's policy and must be changed there")
        self.files = new


def follow_policy(policy_config: PolicyConfig, config: Config, reload: Reload, core: Core) -> FleetPolicy:
    """Makes a front follow the fleet's policy; from then on it routes requests only while it has a lease."""
    overlay = PolicyOverlay(config, _read_operator_file())

    def validate(content: bytes) -> tuple[str, ...]:
        return document.validation_reasons(
            overlay.files, content, reload.own_config, reload.limits is not None
        )

    def apply(content: bytes) -> str:
        if reasons := validate(content):
            return reasons[0]
        previous_policy, overlay.policy = overlay.policy, document.parse_policy(content)
        try:
            reload.apply_files(reload.own_config, Operator())  # the overlay supplies the operator's file
        except ConfigError as error:
            overlay.policy = previous_policy
            return str(error)
        return ""

    policy = FleetPolicy(policy_config, config.name, PolicyHooks(validate, apply))
    reload.overlay = overlay
    core.decisions_paused_for = policy.decisions_paused_for
    return policy
