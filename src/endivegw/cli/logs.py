"""``endivegw explain`` and ``endivegw logs``: read what routers wrote."""

from __future__ import annotations

import sys
from typing import Any, Callable, Iterator, TextIO, TypeVar

import attrs
import click

from endivegw.cli.output import output_option, print_json, print_table
from endivegw.telemetry.losses import Aims, losses_of
from endivegw.telemetry.story import read_lines, story_of, totals

__all__ = ["explain", "logs"]

#: What ``explain`` exits with where no line bears the id.
_NOT_FOUND = 1

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


def _texts(files: tuple[TextIO, ...]) -> Iterator[str]:
    for file in files or (sys.stdin,):
        yield from file


@click.command()
@click.argument("request_id")
@_log_files
@output_option
def explain(request_id: str, files: tuple[TextIO, ...], output: str) -> None:
    """Tell the story of one request.

    Reads the logs of any number of processes, from files or standard input, and
    prints what each decided on the request in order of time.
    """
    story = story_of(request_id, read_lines(_texts(files)))
    if not story.steps:
        click.echo(f"no line bears the id {request_id}", err=True)
        sys.exit(_NOT_FOUND)
    if output == "json":
        print_json(attrs.asdict(story))
        return
    for step in story.steps:
        click.echo(f"{step.at} {step.vm} [{step.event}] {step.text}")
    click.echo(f"cause: {story.cause}")


@click.group()
def logs() -> None:
    """Read what routers wrote."""


@logs.command()
@_log_files
@_window_option(10.0)
@output_option
def summary(files: tuple[TextIO, ...], window_s: float, output: str) -> None:
    """Count how requests ended, by reason and window."""
    found = totals(read_lines(_texts(files)), window_s)
    rows = [("all", name, count) for name, count in sorted(found.outcomes.items())]
    for window, counts in sorted(found.windows.items()):
        rows += [(window, name, count) for name, count in sorted(counts.items())]
    print_table(("window", "outcome", "requests"), rows, output)


@logs.command()
@_log_files
@_window_option(2.0)
@click.option(
    "--first-s", type=float, help="From when on a first part is late, in seconds."
)
@click.option(
    "--pause-s", type=float, help="From when on a pause of a stream is, in seconds."
)
@output_option
def losses(
    files: tuple[TextIO, ...],
    window_s: float,
    first_s: float | None,
    pause_s: float | None,
    output: str,
) -> None:
    """Show what callers lost, by service and cause, and when.

    Refusals for tokens are told apart by where the router knew tokens to be. A
    caller that came back counts as another request. Without aims no answer is late.
    """
    found = losses_of(read_lines(_texts(files)), window_s, Aims(first_s, pause_s))
    if output == "json":
        print_json(attrs.asdict(found))
        return
    causes = [attrs.astuple(loss) for loss in found.causes]
    print_table(("service", "cause", "requests", "tokens"), causes, output)
    click.echo()
    ends = [(begin, *attrs.astuple(window)) for begin, window in found.windows.items()]
    print_table(("from", "served", "late", "refused", "failed"), ends, output)
