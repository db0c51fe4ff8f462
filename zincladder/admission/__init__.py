"""Admission control: which connections and requests are taken, and which connections make room for others."""
