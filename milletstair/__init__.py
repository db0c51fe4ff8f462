"""milletstair: the decisions of a caching router, as a library without I/O."""

from milletstair.brain import Router

__all__ = ["Router"]
