"""The adapter of the users' platform: the one folder that knows its names.

It turns the platform's rows, header fields and calls into the product's types
and back. It decides nothing.
"""
