"""Singleton tasks: at most one process of the fleet runs each, and fencing tokens stop outdated holders."""
