"""The export of samples by Prometheus remote write: encoding, storage of unsent batches, and delivery."""
