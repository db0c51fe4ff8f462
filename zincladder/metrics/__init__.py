"""The metrics of fronts and replicas, served to Prometheus over HTTP."""
