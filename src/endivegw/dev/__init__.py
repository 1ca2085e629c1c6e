"""A complete fleet in one process on loopback, for development and exercises.

This is the only part of the package that may import the stand-ins.
"""
