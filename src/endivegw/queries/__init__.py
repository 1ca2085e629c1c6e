"""Operators' queries: what only reads."""
