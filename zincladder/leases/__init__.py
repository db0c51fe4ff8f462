"""Leases that the leader of a group grants to processes: the code shared by policy and singleton tasks."""
