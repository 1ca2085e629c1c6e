"""What all operators' commands share: options, the table, and how they fail."""

from __future__ import annotations

import functools
import getpass
import pathlib
import random
import time
import uuid
from typing import (
    Any,
    Awaitable,
    Callable,
    Coroutine,
    TypeVar,
)

import anyio
import click
from attrs import frozen

from endivegw.cli.errors import reported
from endivegw.commands.changes import Operation, Outcome
from endivegw.composition import Platform, open_platform
from endivegw.exceptions import EXIT_USAGE, EndivegwError
from endivegw.results import Done, Reason, Refused, Result, Unknown
from endivegw.settings import load_platform_settings

__all__ = [
    "CommandConflictError",
    "CommandRefusedError",
    "OperatorContext",
    "OutcomeUnknownError",
    "run_async",
    "say_outcome",
    "value_of",
    "with_platform",
    "writes",
]

T = TypeVar("T")

#: Exit codes beside those of :mod:`endivegw.exceptions`, for scripts.
EXIT_CONFLICT = 3
EXIT_UNKNOWN = 4

_BAD_INPUT = (
    Reason.ALREADY_RUN,
    Reason.BAD_REQUEST,
    Reason.BUDGET_UNKNOWN,
    Reason.KEY_CONFLICT,
    Reason.NOT_FOUND,
)


class CommandRefusedError(EndivegwError):
    """Report that nothing was changed."""


class CommandInputError(EndivegwError):
    """Report that the input names or says something that cannot be."""

    exit_code = EXIT_USAGE


class CommandConflictError(EndivegwError):
    """Report that somebody else changed the same thing first."""

    exit_code = EXIT_CONFLICT


class OutcomeUnknownError(EndivegwError):
    """Report that the change may or may not have been made."""

    exit_code = EXIT_UNKNOWN


@frozen
class OperatorContext:
    """Hold what a command works with.

    :param operation: its id, who runs it, when, and whether it may write.
    """

    platform: Platform
    operation: Operation


def value_of(result: Result[T]) -> T:
    """Return the value, or end the command with a message and an exit code."""
    match result:
        case Done(value):
            return value
        case Refused(Reason.CONFLICT, detail):
            message = f"conflict, nothing was changed: {detail}"
            raise CommandConflictError(message)
        case Refused(reason, detail) if reason in _BAD_INPUT:
            raise CommandInputError(detail)
        case Refused(reason, detail):
            raise CommandRefusedError(f"nothing was changed: {reason.value}: {detail}")
        case Unknown(reason, detail):
            message = f"it is not known whether it took effect: {detail}"
            raise OutcomeUnknownError(message)


def say_outcome(outcome: Outcome, context: OperatorContext) -> None:
    """Print what a change did."""
    change = outcome.change
    if outcome.dry_run:
        click.echo(f"would {change.summary}; nothing was written")
        return
    click.echo(f"{change.summary}: revision {change.revision}")


def run_async(command: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Make a click callback of a coroutine function."""

    @functools.wraps(command)
    def wrapped(*args: Any, **kwargs: Any) -> None:
        anyio.run(functools.partial(command, *args, **kwargs))

    return wrapped


def with_platform(command: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Open the platform that ``--settings`` names and pass a context first."""

    async def run(
        settings_path: pathlib.Path,
        operator: str,
        timeout_s: float,
        operation_id: str = "",
        dry_run: bool = False,
        **arguments: Any,
    ) -> None:
        settings = load_platform_settings(settings_path)
        platform = open_platform(
            settings, f"endivegw-operator-{operator}", time.time, random.Random()
        )
        operation = Operation(
            operation_id or uuid.uuid4().hex, operator, time.time(), dry_run, timeout_s
        )
        try:
            await command(OperatorContext(platform, operation), **arguments)
        finally:
            await platform.close()

    functools.update_wrapper(run, command)
    options = (
        click.option(
            "--settings",
            "settings_path",
            type=click.Path(path_type=pathlib.Path, dir_okay=False),
            envvar="ENDIVEGW_SETTINGS",
            required=True,
            help="INI file whose [platform] names the services. "
            "[env: ENDIVEGW_SETTINGS]",
        ),
        click.option(
            "--operator",
            default=getpass.getuser,
            envvar="ENDIVEGW_OPERATOR",
            help="Name for the history. [default: the login name]",
        ),
        click.option(
            "--timeout-s",
            type=click.FloatRange(min=0.1, max=600.0),
            default=5.0,
            show_default=True,
            help="Longest wait for one answer of the table.",
        ),
    )
    wrapped: Callable[..., None] = reported(run_async(run))
    for option in reversed(options):
        wrapped = option(wrapped)
    return wrapped


def writes(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options of a command that changes something."""
    dry_run = click.option(
        "--dry-run", is_flag=True, help="Check everything and write nothing."
    )
    operation_id = click.option(
        "--operation-id",
        default="",
        help="Id of an earlier run whose outcome is unknown; it takes effect once.",
    )
    return dry_run(operation_id(command))
