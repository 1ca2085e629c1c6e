"""``endivegw explain`` and ``endivegw logs``: analyze the logs of routers."""

from __future__ import annotations

import sys
from typing import Any, Callable, Iterator, TextIO, TypeVar

import attrs
import click

from endivegw.cli.output import output_option, print_json, print_table
from endivegw.telemetry.losses import LatencyThresholds, count_losses
from endivegw.telemetry.request_trace import (
    count_outcomes,
    read_log_lines,
    trace_request,
)
from endivegw.telemetry.software_versions import side_by_side
from endivegw.telemetry.target_limits import current_limits

__all__ = ["explain", "logs"]

#: Exit code of ``explain`` if no line has the request id.
_EXIT_NOT_FOUND = 1

_Command = TypeVar("_Command", bound=Callable[..., Any])

_log_files = click.argument("files", metavar="[LOG]...", nargs=-1, type=click.File())


def _window_option(default_s: float) -> Callable[[_Command], _Command]:
    return click.option(
        "--window-s",
        type=click.FloatRange(min=1.0),
        default=default_s,
        show_default=True,
        help="Length of a window in seconds.",
    )


def _read_files(files: tuple[TextIO, ...]) -> Iterator[str]:
    for file in files or (sys.stdin,):
        yield from file


@click.command()
@click.argument("request_id")
@_log_files
@output_option
def explain(request_id: str, files: tuple[TextIO, ...], output: str) -> None:
    """Trace one request.

    Reads the logs of any number of processes, from files or standard input, and
    prints what each of them decided about the request, in order of time.
    """
    trace = trace_request(request_id, read_log_lines(_read_files(files)))
    if not trace.steps:
        click.echo(f"no line bears the id {request_id}", err=True)
        sys.exit(_EXIT_NOT_FOUND)
    if output == "json":
        print_json(attrs.asdict(trace))
        return
    for step in trace.steps:
        click.echo(f"{step.at} {step.vm} [{step.event}] {step.text}")
    click.echo(f"cause: {trace.cause}")


@click.group()
def logs() -> None:
    """Analyze the logs of routers."""


@logs.command()
@_log_files
@_window_option(10.0)
@output_option
def summary(files: tuple[TextIO, ...], window_s: float, output: str) -> None:
    """Count requests by outcome and time window."""
    totals = count_outcomes(read_log_lines(_read_files(files)), window_s)
    rows = [("all", name, count) for name, count in sorted(totals.outcomes.items())]
    for window, counts in sorted(totals.windows.items()):
        rows += [(window, name, count) for name, count in sorted(counts.items())]
    print_table(("window", "outcome", "requests"), rows, output)


@logs.command()
@_log_files
@output_option
def targets(files: tuple[TextIO, ...], output: str) -> None:
    """Show evacuated zones, and targets with few requests, at the end of the logs.

    Where targets of a service run several software versions, these are shown as well,
    each with the number of its targets.
    """
    lines = list(read_log_lines(_read_files(files)))
    rows = [attrs.astuple(limit) for limit in current_limits(lines)]
    rows += [
        (
            "software version",
            f"{served.service} {served.software_version}, {served.targets} targets",
            served.since,
            None,
        )
        for served in side_by_side(lines)
    ]
    print_table(("kind", "name", "since", "routers"), rows, output)


@logs.command()
@_log_files
@_window_option(2.0)
@click.option(
    "--first-s", type=float, help="Time after which a first part is late, in seconds."
)
@click.option(
    "--pause-s",
    type=float,
    help="Longest pause of a stream that is not late, in seconds.",
)
@output_option
def losses(
    files: tuple[TextIO, ...],
    window_s: float,
    first_s: float | None,
    pause_s: float | None,
    output: str,
) -> None:
    """Show lost and late requests by service and cause, and by time window.

    Refusals for lack of tokens are grouped by where the router knew of tokens. A
    retry by the caller counts as another request. Without --first-s and --pause-s
    no answer counts as late.
    """
    result = count_losses(
        read_log_lines(_read_files(files)),
        window_s,
        LatencyThresholds(first_s, pause_s),
    )
    if output == "json":
        print_json(attrs.asdict(result))
        return
    causes = [attrs.astuple(loss) for loss in result.causes]
    print_table(("service", "cause", "requests", "tokens"), causes, output)
    click.echo()
    ends = [(start, *attrs.astuple(window)) for start, window in result.windows.items()]
    print_table(("from", "served", "late", "refused", "failed"), ends, output)
