"""Store rows of the software versions of services, which outlive every router."""

from __future__ import annotations

import json
from typing import Mapping

__all__ = ["VERSIONS_TABLE", "decode_versions", "encode_versions"]

#: Table with one row for each service that has had several versions at a time.
VERSIONS_TABLE = "software-versions"


def encode_versions(versions: Mapping[str, int | None]) -> bytes:
    """Return the value of a service's row.

    :param versions: by version the store's time in milliseconds at which it was last
        registered, None for those that are.
    """
    return json.dumps(dict(versions)).encode()


def decode_versions(value: bytes) -> dict[str, int | None]:
    """Decode the value of a service's row.

    :raises ValueError: if the value is malformed.
    """
    try:
        return {
            str(version): None if last_ms is None else int(last_ms)
            for version, last_ms in json.loads(value).items()
        }
    except (TypeError, AttributeError) as error:
        raise ValueError(f"malformed row of software versions: {error!r}") from error
