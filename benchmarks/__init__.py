"""Benchmarks. Each prints one JSON object; with --out most write a table too, and `admission` a chart."""
