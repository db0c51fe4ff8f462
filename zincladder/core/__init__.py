"""The core: one router, its clock and timers, and the life of each request. It knows no wire format."""
