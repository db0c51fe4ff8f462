"""A replicated log and key-value state, which stay available while a majority of the replicas runs."""
