"""Small helpers that any part may use."""
