"""zincladder: the decisions of a caching router, as a library without I/O."""

from zincladder.routing.router import Router

__all__ = ["Router"]
