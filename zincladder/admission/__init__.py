"""Admission control: which connections and requests are accepted, and which connections are evicted."""
