"""A log and a state that a group of processes keeps as one, whichever minority of them fails."""
