"""Leases that a group's leader grants to processes: what the policy and the singleton tasks share."""
