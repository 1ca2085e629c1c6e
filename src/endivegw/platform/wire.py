"""Codec of the platform's header fields."""

from __future__ import annotations

import math

from endivegw.relay.wire import (
    AnswerMetadata,
    CallerMetadata,
    HeaderFields,
    PromptPart,
    SendMetadata,
)
from endivegw.results import Reason, Refused

__all__ = ["PlatformWire"]

_ATTEMPT_ID = b"endivegw-attempt-id"
_DEADLINE = b"endivegw-deadline-ms"
_TOKEN_COUNTS = b"endivegw-token-counts"
_PROMPT_PARTS = b"endivegw-prompt-prefix"
_EXPECTED_INSTANCE = b"endivegw-expect-instance"
_ACCOUNT = b"endivegw-tenant"
_PRIORITY = b"endivegw-request-priority"
#: "kv" stands for keys and values, the cached state of a prompt's tokens.
_COPY_FROM = b"kv-fetch"
_NOT_RUN = b"endivegw-not-executed"
_LEAVING = b"server-leaving"
_WARM_UP = b"endivegw-cold-ms"
_LIMIT = b"server-limit"
_RETRY_AFTER = b"retry-after"
_LAST_EVENT = b"last-event-id"
_RESUMES = b"resumes"
_AUTHORIZATION = b"authorization"

#: Prefixes of the platform's own fields in answers, and the fields known among them.
_ANSWER_PREFIXES = (b"endivegw-", b"server-")
_KNOWN_ANSWER_FIELDS = frozenset(
    {
        _ATTEMPT_ID,
        _NOT_RUN,
        _LEAVING,
        _WARM_UP,
        _LIMIT,
        b"endivegw-response-seal",
        b"endivegw-instance-id",
        b"endivegw-weight-versions",
    }
)

#: Fields that only the router may set. A caller that sent them could reserve engine
#: memory, bypass the queue or impersonate another account.
_RESERVED = frozenset(
    {
        _DEADLINE,
        _EXPECTED_INSTANCE,
        b"endivegw-expect-version",
        _ACCOUNT,
        _PRIORITY,
        b"endivegw-hold",
        b"endivegw-pin-ms",
        b"endivegw-kv-backup",
        b"kv-from",
        _COPY_FROM,
        b"endivegw-kv-from",
        b"endivegw-kv-fetch",
        _LAST_EVENT,
        _AUTHORIZATION,
    }
)

#: Limit of the integers that callers state.
_MAX_INTEGER = 2**63 - 1

#: Status that is returned if another instance now listens at the target's address.
_MISDIRECTED = 421

#: Path at which engines report their load.
_REPORT_PATH = b"/report"

#: Upper limit of requested pauses. Few target instances live for a day.
_MAX_PAUSE_S = 86_400.0

#: Upper limit of announced warm-ups, which take seconds.
_MAX_WARM_UP_S = 60.0

#: Lower limit of the stated limits on requests per second.
_MIN_LIMIT_PER_S = 0.1

#: Status with which a target rejects a request, optionally with a Retry-After field.
_UNAVAILABLE = 503


class PlatformWire:
    """Read and write the platform's header fields."""

    def read_caller_fields(self, fields: HeaderFields) -> CallerMetadata | Refused:
        """Return a request's metadata, or a refusal if a field is malformed."""
        found = dict(fields)
        try:
            counts = _parse_token_counts(found.get(_TOKEN_COUNTS))
            return CallerMetadata(
                request_id=_decode_text(found.get(_ATTEMPT_ID)),
                key=_parse_key(found.get(_AUTHORIZATION)),
                deadline_s=_parse_milliseconds(found.get(_DEADLINE)),
                prompt_tokens=counts[0] if counts else None,
                max_output_tokens=counts[1] if counts else 0,
                parts=_parse_prompt_parts(found.get(_PROMPT_PARTS)),
                resume_after=_parse_integer(found.get(_LAST_EVENT)),
                resumes=_parse_resumes(fields),
            )
        except ValueError as error:
            return Refused(Reason.BAD_REQUEST, f"malformed header field: {error}")

    def write_target_fields(
        self, fields: HeaderFields, metadata: SendMetadata
    ) -> HeaderFields:
        """Return the fields for a target: those of the caller and the router's own."""
        sent = [(name, value) for name, value in fields if name not in _RESERVED]
        remaining_ms = max(1, int(metadata.deadline_s * 1000))
        sent.append((_DEADLINE, str(remaining_ms).encode()))
        sent.append((_EXPECTED_INSTANCE, metadata.instance_id.encode()))
        if metadata.client_account is not None:
            sent.append((_ACCOUNT, metadata.client_account.encode()))
        if metadata.priority is not None:
            sent.append((_PRIORITY, str(metadata.priority).encode()))
        if metadata.copy_from is not None:
            sent.append((_COPY_FROM, metadata.copy_from.encode()))
        if metadata.resume_after is not None:
            sent.append((_LAST_EVENT, str(metadata.resume_after).encode()))
        return sent

    def read_answer_fields(self, status: int, fields: HeaderFields) -> AnswerMetadata:
        """Return the metadata of an answer."""
        found = dict(fields)
        replaced = status == _MISDIRECTED
        not_run = _NOT_RUN in found or replaced
        # An answer of another instance says nothing about the intended instance.
        leaving = found.get(_LEAVING, b"").strip() == b"1" and not replaced
        pause_s = None
        if status == _UNAVAILABLE:
            pause_s = _parse_pause_s(found.get(_RETRY_AFTER))
        request_id = _decode_text(found.get(_ATTEMPT_ID))
        warm_up_s = None if replaced else _parse_warm_up_s(found.get(_WARM_UP))
        limits = [value for name, value in fields if name == _LIMIT and not replaced]
        limits_per_s = [_parse_limit_per_s(value) for value in limits]
        stated_per_s = [rate for rate in limits_per_s if rate is not None]
        unknown_fields = [
            (name, value)
            for name, value in fields
            if name.startswith(_ANSWER_PREFIXES) and name not in _KNOWN_ANSWER_FIELDS
        ]
        unknown_fields += [
            (_LIMIT, value) for value, rate in zip(limits, limits_per_s) if rate is None
        ]
        return AnswerMetadata(
            request_id,
            not_run,
            replaced,
            leaving,
            pause_s,
            warm_up_s,
            min(stated_per_s, default=None),
            bool(limits) and not stated_per_s,
            tuple(unknown_fields),
        )

    def probe_path(self) -> bytes | None:
        """Return the path of an engine's report on itself."""
        return _REPORT_PATH

    def router_answer_fields(self, request_id: str | None) -> HeaderFields:
        """Return the fields of an answer that the router generates itself."""
        if request_id is None:
            return []
        return [(_ATTEMPT_ID, request_id.encode("latin-1"))]


def _decode_text(value: bytes | None) -> str | None:
    return None if value is None else value.decode("latin-1")


def _parse_resumes(fields: HeaderFields) -> str | None:
    """Return the id of the attempt that is resumed, or None if it is empty."""
    values = {value.strip() for name, value in fields if name == _RESUMES}
    if len(values) > 1:
        raise ValueError(f"{len(values)} different attempts are resumed")
    return _decode_text(values.pop() if values else None) or None


def _bounded_integer(text: bytes | str) -> int:
    """Return an integer; raise :exc:`ValueError` for one outside a plausible range.

    Sums and products of the numbers that are accepted fit into a float.
    """
    number = int(text)
    if abs(number) > _MAX_INTEGER:
        raise ValueError(f"a number of {len(text)} digits")
    return number


def _parse_integer(value: bytes | None) -> int | None:
    return None if value is None else _bounded_integer(value)


def _parse_milliseconds(value: bytes | None) -> float | None:
    return None if value is None else _bounded_integer(value) / 1000.0


def _parse_pause_s(value: bytes | None) -> float | None:
    """Return the seconds of a field, or None if it holds no positive number."""
    try:
        found = float(value or b"")
    except ValueError:
        return None
    return min(found, _MAX_PAUSE_S) if found > 0.0 else None


def _parse_warm_up_s(value: bytes | None) -> float | None:
    """Return the seconds of a field, or None if it holds no positive number."""
    try:
        found_ms = float(value or b"")
    except ValueError:
        return None
    return min(found_ms / 1000.0, _MAX_WARM_UP_S) if found_ms > 0.0 else None


def _parse_limit_per_s(value: bytes) -> float | None:
    """Return a limit in requests per second, or None if it is malformed.

    With a limit of 0, the target gets the few requests by whose answers the end of the
    limit is noticed.
    """
    try:
        found = float(value)
    except ValueError:
        return None
    return max(found, _MIN_LIMIT_PER_S) if 0.0 <= found < math.inf else None


def _parse_key(value: bytes | None) -> str | None:
    scheme, _, key = (value or b"").partition(b" ")
    if scheme.lower() != b"bearer" or not key.strip():
        return None
    return key.strip().decode("latin-1")


def _parse_token_counts(value: bytes | None) -> tuple[int, int] | None:
    if value is None:
        return None
    prompt, _, output = value.partition(b",")
    counts = _bounded_integer(prompt), _bounded_integer(output)
    if min(counts) < 0:
        raise ValueError(f"negative token count in {value!r}")
    return counts


def _parse_prompt_parts(value: bytes | None) -> tuple[PromptPart, ...]:
    if not value:
        return ()
    found = []
    for entry in value.decode("latin-1").split(","):
        part_id, _, tokens = entry.strip().partition(":")
        found.append(PromptPart(part_id, _bounded_integer(tokens)))
    return tuple(found)
