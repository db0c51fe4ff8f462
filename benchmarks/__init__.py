"""Measurements of the project: each prints one JSON object, and keeps a table and a chart with --out."""
