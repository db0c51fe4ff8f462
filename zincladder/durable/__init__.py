"""What outlives the process: records with checksums, and a journal of them."""
