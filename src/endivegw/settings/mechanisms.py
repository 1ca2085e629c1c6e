"""Switches of what a router does beyond the needful, to measure what each is worth."""

from __future__ import annotations

import attrs
from attrs import frozen

from endivegw.settings.reader import SettingsReader

__all__ = ["Mechanisms", "read_mechanisms"]

_SECTION = "mechanisms"


@frozen
class Mechanisms:
    """Hold which mechanisms are in use; all of them keep what is promised when off.

    :param affinity: work prefers targets that keep parts of its prompt.
    :param copies: targets copy kept parts from each other.
    :param tell_prefixes: routers tell each other which parts targets read.
    :param pauses: long prompts keep away from targets where answers would pause.
    :param ejection: targets that fail or are slow lose work.
    :param loans: routers lend each other tokens of prepaid budgets.
    :param loans_ahead: they borrow before they need it.
    :param witnesses: other routers know what each may have used when it died.
    """

    affinity: bool = True
    copies: bool = True
    tell_prefixes: bool = True
    pauses: bool = True
    ejection: bool = True
    loans: bool = True
    loans_ahead: bool = True
    witnesses: bool = True


def read_mechanisms(reader: SettingsReader) -> Mechanisms:
    """Read the section ``[mechanisms]``; what it does not name is in use."""
    names = [field.name for field in attrs.fields(Mechanisms)]
    return Mechanisms(**{name: reader.flag(_SECTION, name, True) for name in names})
