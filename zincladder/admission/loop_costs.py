"""Costs of operations in seconds of event loop time, as measured with benchmarks/admission.py.

`WeightedFairQueue.cost_scale` scales these costs to the machine.
"""

from __future__ import annotations

REJECTED_MESSAGE_SECONDS = 150e-6  # reading, parsing and rejecting a message
REQUEST_SECONDS = 900e-6  # a whole request: reading its message, the work on it and its answer
SECONDS_PER_SENT_BYTE = 1.2e-9  # sending a large answer
ADMITTED_CONNECTION_SECONDS = 450e-6
REJECTED_CONNECTION_SECONDS = 30e-6
