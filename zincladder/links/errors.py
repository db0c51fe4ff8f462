"""Errors of links between processes."""

from __future__ import annotations


class FrameError(Exception):
    """The other side sent bytes that are no frame, or a body that is no message; the link ends."""


class HandshakeRejectedError(Exception):
    """One side did not accept the other's greeting; the text says why."""
