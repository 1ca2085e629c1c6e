"""Read parameters from files and ``KEY=VALUE`` arguments."""

from __future__ import annotations

import re
from typing import TextIO

import click
from attrs import frozen

from endivegw.cli.operating import CommandInputError
from endivegw.configuration.ini import (
    IniDiagnostic,
    parse_assignments,
    parse_template,
)
from endivegw.configuration.parameters import PARAMETER_NAMES, Parameters

__all__ = [
    "TemplateFile",
    "check_names",
    "parse_pairs",
    "read_template_file",
    "seen_line",
]

_SEEN = re.compile(r"[;#]\s*revision (\d+), version (\d+)\s*$", re.MULTILINE)


@frozen
class TemplateFile:
    """Hold a template file.

    :param seen: revision and version it was shown at; None in a file that
        was written from nothing.
    """

    parameters: Parameters
    seen: tuple[int, int] | None


def seen_line(revision: int, version: int) -> str:
    """Return the comment by which an edited file is known to be of this state."""
    return f"; revision {revision}, version {version}"


def read_template_file(file: TextIO) -> TemplateFile:
    """Return a template file's content, or end the command with its mistakes."""
    text = file.read()
    parsed = parse_template(text)
    if not isinstance(parsed, Parameters):
        raise CommandInputError(_mistakes(parsed, file.name))
    found = _SEEN.search(text)
    seen = (int(found.group(1)), int(found.group(2))) if found else None
    return TemplateFile(parsed, seen)


def parse_pairs(pairs: tuple[str, ...]) -> Parameters:
    """Return the parameters of ``KEY=VALUE`` arguments."""
    values: dict[str, str] = {}
    for pair in pairs:
        key, equals, value = pair.partition("=")
        if not equals:
            raise click.UsageError(f"{pair!r} is not KEY=VALUE")
        if key in values:
            raise click.UsageError(f"{key} is given twice")
        values[key] = value
    parsed = parse_assignments(values)
    if not isinstance(parsed, Parameters):
        raise CommandInputError(_mistakes(parsed, ""))
    return parsed


def check_names(names: tuple[str, ...]) -> None:
    """Refuse names that are no parameters."""
    for name in names:
        if name not in PARAMETER_NAMES:
            known = ", ".join(PARAMETER_NAMES)
            raise click.UsageError(f"{name!r} is none of {known}")


def _mistakes(mistakes: tuple[IniDiagnostic, ...], place: str) -> str:
    prefix = f"{place}: " if place else ""
    return "\n".join(f"{prefix}{mistake}" for mistake in mistakes)
