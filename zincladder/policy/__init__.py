"""One policy for a fleet: a change takes hold at every front or at none."""
