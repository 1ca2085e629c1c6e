"""Relay callers' HTTP requests to targets and return the targets' answers."""
