"""The core: one Router, its clock and timers, and the life of each request. It knows no wire."""
