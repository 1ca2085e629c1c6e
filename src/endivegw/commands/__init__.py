"""Operators' commands, which write to the platform's table."""
