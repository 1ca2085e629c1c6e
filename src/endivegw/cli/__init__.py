"""Command line interface for operators and daemons."""

from endivegw.cli.main import main

__all__ = ["main"]
