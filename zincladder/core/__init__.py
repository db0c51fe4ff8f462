"""The core of a front: one router, its clock and timers, and open requests. It knows no wire format."""
