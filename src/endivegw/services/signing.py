"""AWS Signature Version 4, which authenticates calls to table and object services."""

from __future__ import annotations

import hashlib
import hmac
from datetime import datetime
from typing import Mapping
from urllib.parse import quote, urlsplit

from attrs import field, frozen

__all__ = ["Credentials", "signed_fields"]

_ALGORITHM = "AWS4-HMAC-SHA256"


@frozen
class Credentials:
    """Hold this process's access key for the platform's services.

    :param secret_key: excluded from the repr, so that no log or error contains it.
    """

    access_key_id: str
    secret_key: str = field(repr=False)
    region: str = "local"


def _hmac(key: bytes, text: str) -> bytes:
    return hmac.new(key, text.encode(), hashlib.sha256).digest()


def _signing_key(credentials: Credentials, date: str, service: str) -> bytes:
    key = ("AWS4" + credentials.secret_key).encode()
    for part in (date, credentials.region, service, "aws4_request"):
        key = _hmac(key, part)
    return key


def signed_fields(
    credentials: Credentials,
    service: str,
    method: str,
    url: str,
    fields: Mapping[str, str],
    body: bytes,
    now: datetime,
) -> dict[str, str]:
    """Return the header fields of a call with its signature added.

    :param service: ``dynamodb`` or ``s3``.
    :param url: URL without a query string; no call of this package has one.
    :param now: current time in UTC; services refuse a time that is minutes off.
    """
    parts = urlsplit(url)
    amz_date = now.strftime("%Y%m%dT%H%M%SZ")
    date = amz_date[:8]
    body_digest = hashlib.sha256(body).hexdigest()
    signed = {name.lower(): value for name, value in fields.items()}
    signed["host"] = parts.netloc
    signed["x-amz-date"] = amz_date
    signed["x-amz-content-sha256"] = body_digest
    names = ";".join(sorted(signed))
    lines = "".join(f"{name}:{signed[name].strip()}\n" for name in sorted(signed))
    path = quote(parts.path or "/", safe="/-_.~")
    canonical_request = "\n".join((method, path, "", lines, names, body_digest))
    scope = f"{date}/{credentials.region}/{service}/aws4_request"
    digest = hashlib.sha256(canonical_request.encode()).hexdigest()
    string_to_sign = "\n".join((_ALGORITHM, amz_date, scope, digest))
    key = _signing_key(credentials, date, service)
    signature = hmac.new(key, string_to_sign.encode(), hashlib.sha256).hexdigest()
    signed["authorization"] = (
        f"{_ALGORITHM} Credential={credentials.access_key_id}/{scope}, "
        f"SignedHeaders={names}, Signature={signature}"
    )
    return signed
