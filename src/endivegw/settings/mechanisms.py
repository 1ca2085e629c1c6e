"""Switches for optional mechanisms of a router, to measure the effect of each."""

from __future__ import annotations

import attrs
from attrs import frozen

from endivegw.settings.reader import SettingsReader

__all__ = ["Mechanisms", "read_mechanisms"]

_SECTION = "mechanisms"


@frozen
class Mechanisms:
    """Enabled mechanisms; a router keeps all guarantees with any of them disabled.

    :param affinity: requests prefer targets that have parts of their prompt cached.
    :param copies: targets copy cached prefixes from each other.
    :param tell_prefixes: routers notify each other of the prefixes that targets read.
    :param pauses: long prompts avoid targets where they would stall running answers.
    :param ejection: targets that fail or are slow get less work.
    :param loans: routers lend each other tokens of prepaid budgets.
    :param loans_ahead: routers borrow tokens before they need them.
    :param witnesses: other routers record what a router may have used, for the case
        that it dies.
    :param separate_prompts: long prompts prefer targets of their own where they would
        delay other answers beyond their objectives.
    :param store_relays: routers that the store turns away let others make their calls.
    """

    affinity: bool = True
    copies: bool = True
    tell_prefixes: bool = True
    pauses: bool = True
    ejection: bool = True
    loans: bool = True
    loans_ahead: bool = True
    witnesses: bool = True
    store_relays: bool = True
    separate_prompts: bool = True


def read_mechanisms(reader: SettingsReader) -> Mechanisms:
    """Read the section ``[mechanisms]``; mechanisms that it omits are enabled."""
    names = [field.name for field in attrs.fields(Mechanisms)]
    return Mechanisms(**{name: reader.flag(_SECTION, name, True) for name in names})
