"""Operators' queries, which read the platform's table and never write to it."""
