"""Conversion of the package's errors into a message and an exit code."""

from __future__ import annotations

import functools
import sys
from typing import Callable, ParamSpec, TypeVar

import click

from endivegw.exceptions import EndivegwError

__all__ = ["handle_errors"]

P = ParamSpec("P")
R = TypeVar("R")


def handle_errors(command: Callable[P, R]) -> Callable[P, R]:
    """Make a command print the message of an error and exit with its code."""

    @functools.wraps(command)
    def wrapped(*args: P.args, **kwargs: P.kwargs) -> R:
        try:
            return command(*args, **kwargs)
        except EndivegwError as error:
            click.echo(f"Error: {error.message}", err=True)
            sys.exit(error.exit_code)

    return wrapped
