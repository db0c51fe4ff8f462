"""Small helpers for all other packages."""
