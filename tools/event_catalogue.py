"""Generate docs/EVENTS.md from the catalogue of log events."""

from __future__ import annotations

import pathlib
import sys

from endivegw.telemetry.catalogue import ALL_EVENTS

__all__ = ["PAGE", "page_text"]

PAGE = pathlib.Path("docs/EVENTS.md")

_HEAD = """# Log events

Each line of a daemon's log is one JSON object with `time`, `level`, `part`,
`message`, `event` (the number), `instance` and the fields named here. Numbers are
never reused. This page is written by `make docs`.

| number | name | level | meaning | fields |
| --- | --- | --- | --- | --- |
"""


def page_text() -> str:
    """Return the Markdown text of docs/EVENTS.md."""
    lines = [
        f"| {event.number} | `{event.name}` | {event.level.value} | {event.meaning} | "
        + ", ".join(f"`{name}`" for name in event.fields)
        + " |\n"
        for event in ALL_EVENTS
    ]
    return _HEAD + "".join(lines)


def main() -> int:
    """Write docs/EVENTS.md and return the exit code."""
    PAGE.write_text(page_text())
    return 0


if __name__ == "__main__":
    sys.exit(main())
