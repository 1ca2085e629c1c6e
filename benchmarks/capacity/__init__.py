"""Measure slopes on one machine, and work out each role at the target size."""
