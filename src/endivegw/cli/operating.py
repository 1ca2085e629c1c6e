"""Common parts of the operators' commands: options, platform access and errors."""

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

from endivegw.cli.errors import handle_errors
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
    "print_outcome",
    "unwrap_result",
    "with_platform",
    "write_options",
]

T = TypeVar("T")

#: Exit codes for scripts, in addition to those of :mod:`endivegw.exceptions`.
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
    """Report that the input is invalid or names something that does not exist."""

    exit_code = EXIT_USAGE


class CommandConflictError(EndivegwError):
    """Report that a concurrent change of the same documents came first."""

    exit_code = EXIT_CONFLICT


class OutcomeUnknownError(EndivegwError):
    """Report that the change may or may not have been made."""

    exit_code = EXIT_UNKNOWN


@frozen
class OperatorContext:
    """Context that is passed to each operator command.

    :param platform: clients of the platform's services.
    :param operation: id, operator, time and options of this run.
    """

    platform: Platform
    operation: Operation


def unwrap_result(result: Result[T]) -> T:
    """Return the value of a result, or raise the error that matches its failure."""
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


def print_outcome(outcome: Outcome, context: OperatorContext) -> None:
    """Print the summary of a change and its revision."""
    change = outcome.change
    if outcome.dry_run:
        click.echo(f"would {change.summary}; nothing was written")
        return
    click.echo(f"{change.summary}: revision {change.revision}")


def run_async(command: Callable[..., Coroutine[Any, Any, None]]) -> Callable[..., None]:
    """Turn a coroutine function into a click callback."""

    @functools.wraps(command)
    def wrapped(*args: Any, **kwargs: Any) -> None:
        anyio.run(functools.partial(command, *args, **kwargs))

    return wrapped


def with_platform(command: Callable[..., Awaitable[None]]) -> Callable[..., None]:
    """Add the common options, and pass an :class:`OperatorContext` as first argument.

    The platform that ``--settings`` describes is open while the command runs.
    """

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
            help="INI file whose section [platform] describes the services. "
            "[env: ENDIVEGW_SETTINGS]",
        ),
        click.option(
            "--operator",
            default=getpass.getuser,
            envvar="ENDIVEGW_OPERATOR",
            help="Name recorded in the history. [default: the login name]",
        ),
        click.option(
            "--timeout-s",
            type=click.FloatRange(min=0.1, max=600.0),
            default=5.0,
            show_default=True,
            help="Time limit of each call to the table.",
        ),
    )
    wrapped: Callable[..., None] = handle_errors(run_async(run))
    for option in reversed(options):
        wrapped = option(wrapped)
    return wrapped


def write_options(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add the options of a command that writes to the table."""
    dry_run = click.option(
        "--dry-run", is_flag=True, help="Validate the change without writing it."
    )
    operation_id = click.option(
        "--operation-id",
        default="",
        help="Id of an earlier run with unknown outcome; the change is applied once.",
    )
    return dry_run(operation_id(command))
