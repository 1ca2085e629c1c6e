"""Relay callers' HTTP requests to targets, and their answers back."""
