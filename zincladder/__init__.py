"""zincladder: a caching router. The package exports its decision logic, `Router`, which does no I/O."""

from zincladder.routing.router import Router

__all__ = ["Router"]
