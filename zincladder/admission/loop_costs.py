"""Costs of operations in seconds of event loop time, as measured with benchmarks/admission.py.

`WeightedFairQueue.pace` scales these costs to the machine.
"""

from __future__ import annotations

MESSAGE_SECONDS = 150e-6  # to read, parse and reject a message
REQUEST_SECONDS = 900e-6  # for a whole request: reading its message, the work on it and its answer
SECONDS_PER_BYTE = 1.2e-9  # to send a large answer
CONNECTION_SECONDS = 450e-6  # to admit a connection
REJECTION_SECONDS = 30e-6  # to reject a connection
