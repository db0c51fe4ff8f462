"""Errors of links between processes."""

from __future__ import annotations


class FrameError(Exception):
    """The peer sent an invalid frame, or a body that is not a valid message. The link has to be closed."""


class MessageTooLargeError(Exception):
    """A message of this process exceeds the size of a frame. Nothing of it was sent."""


class HandshakeRejectedError(Exception):
    """One side rejected the other's handshake; the text gives the reason."""
