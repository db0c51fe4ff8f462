"""Connections for messages between the processes of one installation."""
