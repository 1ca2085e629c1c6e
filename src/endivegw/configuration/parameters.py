"""The parameters that a template shares and an account may set for itself."""

from __future__ import annotations

from typing import Any

from attrs import asdict, field, fields_dict, frozen, validators

from endivegw.configuration.model import AccountParameters
from endivegw.types import ClientAccountName, Priority

__all__ = ["PARAMETER_NAMES", "Parameters", "account_parameters", "layered"]


def _optional_range(low: float, high: float) -> Any:
    return validators.optional(validators.and_(validators.ge(low), validators.le(high)))


@frozen
class Parameters:
    """Hold those parameters that one document sets; None leaves one unset.

    The meaning of each is that of the field of the same name of
    :class:`endivegw.configuration.AccountParameters`.
    """

    budgets: tuple[str, ...] | None = None
    priority: Priority | None = None
    models: tuple[str, ...] | None = None
    services: tuple[str, ...] | None = None
    repeatable_paths: tuple[str, ...] | None = None
    repeatable_generations: bool | None = None
    weight: float | None = field(default=None, validator=_optional_range(0.01, 1000))
    max_output_tokens: int | None = field(
        default=None, validator=_optional_range(1, 1_000_000)
    )
    reserve_s: float | None = field(default=None, validator=_optional_range(0, 86_400))


#: The names that templates and ``account set`` accept.
PARAMETER_NAMES: tuple[str, ...] = tuple(fields_dict(Parameters))


def layered(lower: Parameters, upper: Parameters) -> Parameters:
    """Return ``lower`` with everything replaced that ``upper`` sets."""
    values = _set_values(lower)
    values.update(_set_values(upper))
    return Parameters(**values)


def account_parameters(
    client_account: ClientAccountName,
    parameters: Parameters,
    *,
    key_hashes: tuple[str, ...],
    template: str,
    enabled: bool,
) -> AccountParameters:
    """Return what daemons hold of an account; unset parameters have defaults."""
    return AccountParameters(
        client_account,
        key_hashes=key_hashes,
        template=template,
        enabled=enabled,
        **_set_values(parameters),
    )


def _set_values(parameters: Parameters) -> dict[str, Any]:
    values = asdict(parameters, recurse=False)
    return {name: value for name, value in values.items() if value is not None}
