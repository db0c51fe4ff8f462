"""The errors of the tasks package."""

from __future__ import annotations


class TaskError(Exception):
    """Base of the errors below."""


class LeaseLostError(TaskError):
    """This process may not act on the task any more, or not now; the text names the task."""


class CheckpointTooLargeError(TaskError):
    """The group can't store so large a checkpoint; the text gives the reason."""
