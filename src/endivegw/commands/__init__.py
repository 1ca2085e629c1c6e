"""Operators' commands: what writes to the platform's table."""
