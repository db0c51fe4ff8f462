"""Operators' access to a running front: status calls over TCP, commands over a unix socket."""
