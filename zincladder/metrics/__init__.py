"""Counters of the daemon, served to Prometheus and pushed by remote write."""
