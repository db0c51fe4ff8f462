"""Errors of links between processes."""

from __future__ import annotations


class FrameError(Exception):
    """The peer sent an invalid frame, or a body that is not a valid message. The link has to be closed."""


class HandshakeRejectedError(Exception):
    """One side rejected the other's handshake; the text gives the reason."""
