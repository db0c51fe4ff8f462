"""The errors of the tasks package."""

from __future__ import annotations


class TaskError(Exception):
    """Base class of the errors of this package."""


class LeaseLostError(TaskError):
    """Raised when this process holds no valid lease on a task; the message names the task."""


class CheckpointTooLargeError(TaskError):
    """Raised when a checkpoint is too large for the group to store; the message gives the reason."""
