"""The platform's side: clients (framed Thrift), quay caches (lines) and the coordinator's watch."""
