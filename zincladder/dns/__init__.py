"""The DNS front: DNS-based request routing on the same core, over UDP and TCP."""
