"""Builds a front from its configuration; each module builds one part and connects it to the others."""
