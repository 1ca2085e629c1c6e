"""The command line of operators and daemons."""

from endivegw.cli.main import main

__all__ = ["main"]
