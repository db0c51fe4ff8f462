"""The errors of the policy package."""

from __future__ import annotations


class PolicyError(Exception):
    """Base of the errors below; the text gives the reason."""


class InvalidPolicyError(PolicyError):
    """A document cannot be stored as a policy."""


class ChangeRejectedError(PolicyError):
    """A change cannot be proposed: another one is under way, or came first."""
