"""Builds a front from its configuration: one builder for each part."""
