"""The errors of the policy package."""

from __future__ import annotations


class PolicyError(Exception):
    """Base class of the errors of this package; the message gives the reason."""


class InvalidPolicyError(PolicyError):
    """Raised when a document cannot be stored as a policy."""


class ChangeRejectedError(PolicyError):
    """Raised when a change cannot be proposed because another one is open or was activated first."""
