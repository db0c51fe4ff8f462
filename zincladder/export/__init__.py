"""The export of samples by Prometheus remote write: messages, delivery, and batches that wait in a spool."""
