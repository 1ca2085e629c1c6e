"""Parameters that templates share and accounts may override."""

from __future__ import annotations

from typing import Any

from attrs import asdict, field, fields_dict, frozen, validators

from endivegw.configuration.model import AccountParameters
from endivegw.types import ClientAccountName, Priority

__all__ = ["PARAMETER_NAMES", "Parameters", "account_parameters", "merge_parameters"]


def _optional_range(low: float, high: float) -> Any:
    return validators.optional(validators.and_(validators.ge(low), validators.le(high)))


@frozen
class Parameters:
    """Hold the parameters that one document sets; None if a parameter is not set.

    Each parameter has the meaning of the field with the same name in
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


#: Parameter names that templates and the ``account set`` command accept.
PARAMETER_NAMES: tuple[str, ...] = tuple(fields_dict(Parameters))


def merge_parameters(base: Parameters, overrides: Parameters) -> Parameters:
    """Return ``base`` with the parameters that ``overrides`` sets replaced."""
    values = _set_values(base)
    values.update(_set_values(overrides))
    return Parameters(**values)


def account_parameters(
    client_account: ClientAccountName,
    parameters: Parameters,
    *,
    key_hashes: tuple[str, ...],
    template: str,
    enabled: bool,
) -> AccountParameters:
    """Return the resolved parameters of an account, with defaults for unset ones."""
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
