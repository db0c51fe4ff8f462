"""Singleton tasks: one process of the fleet at a time runs each, and fences reject one that wakes up late."""
