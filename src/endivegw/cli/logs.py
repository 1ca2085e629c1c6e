"""``endivegw explain`` and ``endivegw logs``: read what routers wrote."""

from __future__ import annotations

import sys
from typing import Iterator, TextIO

import attrs
import click

from endivegw.cli.output import output_option, print_json, print_table
from endivegw.telemetry.story import read_lines, story_of, totals

__all__ = ["explain", "logs"]

#: What ``explain`` exits with where no line bears the id.
_NOT_FOUND = 1

_log_files = click.argument("files", metavar="[LOG]...", nargs=-1, type=click.File())


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
@click.option(
    "--window-s",
    type=click.FloatRange(min=1.0),
    default=10.0,
    show_default=True,
    help="Length of a window in seconds.",
)
@output_option
def summary(files: tuple[TextIO, ...], window_s: float, output: str) -> None:
    """Count how requests ended, by reason and window."""
    found = totals(read_lines(_texts(files)), window_s)
    rows = [("all", name, count) for name, count in sorted(found.outcomes.items())]
    for window, counts in sorted(found.windows.items()):
        rows += [(window, name, count) for name, count in sorted(counts.items())]
    print_table(("window", "outcome", "requests"), rows, output)
