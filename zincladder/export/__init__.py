"""Samples on their way to receivers: messages, delivery, and what is kept through an outage."""
