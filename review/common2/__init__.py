"""Shared parts of the cases 4 to 8: a small deployment on loopback addresses."""
