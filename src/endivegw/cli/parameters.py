"""Parameters from template files and ``KEY=VALUE`` arguments."""

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
    "check_parameter_names",
    "parse_pairs",
    "read_template_file",
    "version_comment",
]

_VERSION_COMMENT = re.compile(r"[;#]\s*revision (\d+), version (\d+)\s*$", re.MULTILINE)


@frozen
class TemplateFile:
    """Content of a template file.

    :param base: revision and version of the template that the file was made from;
        None for a file without a version comment.
    """

    parameters: Parameters
    base: tuple[int, int] | None


def version_comment(revision: int, version: int) -> str:
    """Return the comment that records which revision and version a file shows."""
    return f"; revision {revision}, version {version}"


def read_template_file(file: TextIO) -> TemplateFile:
    """Parse a template file.

    :raises CommandInputError: if the file is invalid, with all of its errors.
    """
    text = file.read()
    parsed = parse_template(text)
    if not isinstance(parsed, Parameters):
        raise CommandInputError(_format_diagnostics(parsed, file.name))
    match = _VERSION_COMMENT.search(text)
    base = (int(match.group(1)), int(match.group(2))) if match else None
    return TemplateFile(parsed, base)


def parse_pairs(pairs: tuple[str, ...]) -> Parameters:
    """Parse ``KEY=VALUE`` arguments."""
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
        raise CommandInputError(_format_diagnostics(parsed, ""))
    return parsed


def check_parameter_names(names: tuple[str, ...]) -> None:
    """Raise a usage error if one of the names is not a parameter."""
    for name in names:
        if name not in PARAMETER_NAMES:
            known = ", ".join(PARAMETER_NAMES)
            raise click.UsageError(
                f"{name!r} is not a parameter; expected one of {known}"
            )


def _format_diagnostics(diagnostics: tuple[IniDiagnostic, ...], file_name: str) -> str:
    prefix = f"{file_name}: " if file_name else ""
    return "\n".join(f"{prefix}{diagnostic}" for diagnostic in diagnostics)
