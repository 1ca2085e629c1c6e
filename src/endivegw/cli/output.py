"""Output of commands as aligned text or JSON."""

from __future__ import annotations

import json
from typing import Any, Callable, Sequence

import click

__all__ = ["output_option", "print_json", "print_table"]


def output_option(command: Callable[..., Any]) -> Callable[..., Any]:
    """Add ``--output text|json``."""
    return click.option(
        "--output",
        type=click.Choice(["text", "json"]),
        default="text",
        show_default=True,
        help="Output format.",
    )(command)


def print_json(value: object) -> None:
    """Print one JSON value."""
    click.echo(json.dumps(value, indent=2, sort_keys=True))


def print_table(
    columns: tuple[str, ...], rows: Sequence[tuple[object, ...]], output: str
) -> None:
    """Print rows as an aligned table, or as JSON objects with the columns as keys."""
    if output == "json":
        print_json([dict(zip(columns, row)) for row in rows])
        return
    texts = [columns, *(tuple(_format_cell(cell) for cell in row) for row in rows)]
    widths = [max(len(row[index]) for row in texts) for index in range(len(columns))]
    for row in texts:
        line = "  ".join(cell.ljust(width) for cell, width in zip(row, widths))
        click.echo(line.rstrip())


def _format_cell(cell: object) -> str:
    if isinstance(cell, bool):
        return "yes" if cell else "no"
    if isinstance(cell, (list, tuple)):
        return ", ".join(str(item) for item in cell) or "-"
    return str(cell) if cell not in (None, "") else "-"
