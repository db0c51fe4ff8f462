"""The client-side plug-in for Apache Thrift's Python library."""
