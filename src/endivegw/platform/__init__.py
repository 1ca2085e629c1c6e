"""Adapter of the users' platform, and the only package that knows its names.

It converts the platform's rows, header fields and calls to the product's types and
back. It contains no decision logic.
"""
