"""The DNS front: answers DNS queries with endpoints that the router selects, over UDP and TCP."""
