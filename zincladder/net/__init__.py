"""Network I/O with clients (framed Thrift), caches (text lines) and the coordinator (binary frames)."""
