"""INI format of templates and parameters, with line and key in each error."""

from __future__ import annotations

import configparser
import re
from typing import Any, Callable, Mapping

from attrs import asdict, frozen

from endivegw.configuration.parameters import PARAMETER_NAMES, Parameters
from endivegw.types import Priority

__all__ = [
    "IniDiagnostic",
    "TEMPLATE_SECTION",
    "format_parameters",
    "format_value",
    "parse_assignments",
    "parse_template",
    "value_texts",
]

TEMPLATE_SECTION = "template"

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._@+:-]{0,127}")
_BUDGET_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_TRUE = ("yes", "true", "on", "1")
_FALSE = ("no", "false", "off", "0")


@frozen
class IniDiagnostic:
    """Describe an error in a template file or in parameter assignments.

    :param line: line number from 1; 0 if the error is not in a particular line.
    :param key: key with the invalid value; "" if the error is not in a value.
    """

    line: int
    key: str
    problem: str

    def __str__(self) -> str:
        location = f"line {self.line}: " if self.line else ""
        key = f"{self.key}: " if self.key else ""
        return f"{location}{key}{self.problem}"


def parse_template(text: str) -> Parameters | tuple[IniDiagnostic, ...]:
    """Parse a template file; return its parameters or all errors in it."""
    parser = configparser.ConfigParser(interpolation=None, strict=True)
    try:
        parser.read_string(text)
    except configparser.DuplicateOptionError as error:
        return (IniDiagnostic(error.lineno or 0, error.option, "is given twice"),)
    except configparser.DuplicateSectionError as error:
        return (IniDiagnostic(error.lineno or 0, "", f"second [{error.section}]"),)
    except configparser.MissingSectionHeaderError as error:
        problem = f"comes before the section [{TEMPLATE_SECTION}]"
        return (IniDiagnostic(error.lineno, error.line.strip(), problem),)
    except configparser.ParsingError as error:
        return tuple(
            IniDiagnostic(line, "", f"cannot parse: {content}")
            for line, content in error.errors
        )
    unexpected = [name for name in parser.sections() if name != TEMPLATE_SECTION]
    if unexpected:
        line = _line_of(text, f"[{unexpected[0]}]")
        return (IniDiagnostic(line, "", f"unknown section [{unexpected[0]}]"),)
    if parser.defaults():
        line = _line_of(text, f"[{parser.default_section}]")
        return (IniDiagnostic(line, "", f"unknown section [{parser.default_section}]"),)
    if not parser.has_section(TEMPLATE_SECTION):
        return (IniDiagnostic(0, "", f"no section [{TEMPLATE_SECTION}]"),)
    values = dict(parser[TEMPLATE_SECTION])
    return _parse_values(values, lambda key: _line_of_key(text, key))


def parse_assignments(
    assignments: Mapping[str, str],
) -> Parameters | tuple[IniDiagnostic, ...]:
    """Parse ``KEY=VALUE`` arguments; return the parameters or all errors."""
    return _parse_values(assignments, lambda key: 0)


def format_parameters(parameters: Parameters) -> str:
    """Return parameters as a template file that parses to equal parameters."""
    lines = [f"[{TEMPLATE_SECTION}]"]
    lines += [f"{name} = {text}" for name, text in value_texts(parameters).items()]
    return "\n".join(lines) + "\n"


def value_texts(parameters: Parameters) -> dict[str, str]:
    """Return the text of each parameter that is set, by name."""
    return {
        name: format_value(value)
        for name, value in asdict(parameters).items()
        if value is not None
    }


def format_value(value: object) -> str:
    """Return the value of a parameter in the format of template files."""
    match value:
        case None:
            return "(not set)"
        case bool():
            return "yes" if value else "no"
        case Priority():
            return value.name.lower()
        case tuple():
            return ", ".join(str(item) for item in value)
        case float():
            # Full precision, so that applying a displayed file changes nothing.
            return repr(value).removesuffix(".0")
    return str(value)


def _line_of(text: str, start: str) -> int:
    for number, line in enumerate(text.splitlines(), start=1):
        if line.strip().startswith(start):
            return number
    return 0


def _line_of_key(text: str, key: str) -> int:
    pattern = re.compile(rf"\s*{re.escape(key)}\s*[=:]", re.IGNORECASE)
    for number, line in enumerate(text.splitlines(), start=1):
        if pattern.match(line):
            return number
    return 0


def _parse_values(
    values: Mapping[str, str], line_of: Callable[[str], int]
) -> Parameters | tuple[IniDiagnostic, ...]:
    errors: list[IniDiagnostic] = []
    parsed: dict[str, Any] = {}
    for key, text in values.items():
        if key not in PARAMETER_NAMES:
            known = ", ".join(PARAMETER_NAMES)
            problem = f"unknown parameter; known are {known}"
            errors.append(IniDiagnostic(line_of(key), key, problem))
            continue
        try:
            parsed[key] = _parse_value(key, text.strip())
            Parameters(**{key: parsed[key]})
        except ValueError as error:
            problem = str(error.args[0]) if error.args else "not allowed"
            errors.append(IniDiagnostic(line_of(key), key, problem))
    if errors:
        return tuple(errors)
    return Parameters(**parsed)


def _parse_value(key: str, text: str) -> object:
    match key:
        case "priority":
            return _parse_priority(text)
        case "repeatable_generations":
            return _parse_flag(text)
        case "weight" | "reserve_s":
            return _parse_number(text, float)
        case "max_output_tokens":
            return _parse_number(text, int)
        case "budgets":
            names = _parse_names(text, _BUDGET_NAME)
            if not names:
                raise ValueError("an account needs at least one budget")
            return names
        case "repeatable_paths":
            paths = _parse_list(text)
            for path in paths:
                if not path.startswith("/"):
                    raise ValueError(f"{path!r} does not start with a slash")
            return paths
    return _parse_names(text, _NAME)


def _parse_priority(text: str) -> Priority:
    try:
        return Priority[text.upper()]
    except KeyError:
        known = ", ".join(priority.name.lower() for priority in Priority)
        raise ValueError(f"{text!r} is none of {known}") from None


def _parse_flag(text: str) -> bool:
    if text.lower() in _TRUE:
        return True
    if text.lower() in _FALSE:
        return False
    raise ValueError(f"{text!r} is neither yes nor no")


def _parse_number(text: str, kind: type[int] | type[float]) -> float:
    try:
        return kind(text)
    except ValueError:
        expected = "whole number" if kind is int else "number"
        raise ValueError(f"{text!r} is not a {expected}") from None


def _parse_list(text: str) -> tuple[str, ...]:
    parts = [part.strip() for part in re.split(r"[,\n]", text)]
    return tuple(dict.fromkeys(part for part in parts if part))


def _parse_names(text: str, pattern: re.Pattern[str]) -> tuple[str, ...]:
    names = _parse_list(text)
    for name in names:
        if not pattern.fullmatch(name):
            raise ValueError(f"{name!r} is not a name")
    return names
