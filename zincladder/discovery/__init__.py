"""Tracks whether the data that a front receives from the coordinator is current."""
