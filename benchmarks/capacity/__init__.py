"""Measure resource costs on one machine and project them to the target fleet size."""
