"""The second front: DNS-based request routing on the same core."""
