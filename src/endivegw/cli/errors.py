"""Turn the package's errors into one line and an exit code."""

from __future__ import annotations

import functools
import sys
from typing import Callable, ParamSpec, TypeVar

import click

from endivegw.exceptions import EndivegwError

__all__ = ["reported"]

P = ParamSpec("P")
R = TypeVar("R")


def reported(command: Callable[P, R]) -> Callable[P, R]:
    """Print an error's message and leave with its exit code."""

    @functools.wraps(command)
    def wrapped(*args: P.args, **kwargs: P.kwargs) -> R:
        try:
            return command(*args, **kwargs)
        except EndivegwError as error:
            click.echo(f"Error: {error.message}", err=True)
            sys.exit(error.exit_code)

    return wrapped
