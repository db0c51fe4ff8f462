"""The policy that all fronts of a fleet share: a change takes effect at every front or at none."""
