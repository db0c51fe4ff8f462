"""What things cost in seconds of the event loop, as benchmarks/admission.py measures them.

`WeightedFairQueue.pace` fits these costs to the machine.
"""

from __future__ import annotations

MESSAGE_SECONDS = 150e-6  # to read and parse a message, and reject it
REQUEST_SECONDS = 900e-6  # all that a request costs until it is answered, its message included
SECONDS_PER_BYTE = 1.2e-9  # of a large answer
CONNECTION_SECONDS = 450e-6
REJECTION_SECONDS = 30e-6  # of a connection
