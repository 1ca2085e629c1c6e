"""A whole fleet in one process on loopback, for development and exercises.

The only part of the package that may import the stand-ins.
"""
