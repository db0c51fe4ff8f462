"""Durable state: records with checksums, and a journal of them."""
