"""Encoding of documents, changes and complete configurations.

A message to a process contains either the complete configuration or the changes
after a revision. Messages are compressed JSON; the compressed and the decompressed
size are limited.
"""

from __future__ import annotations

import json
import zlib
from typing import Any, Mapping

from attrs import asdict, frozen

from endivegw.configuration.documents import (
    AccountDocument,
    Change,
    Document,
    DocumentKind,
    DocumentName,
    Documents,
    TargetDocument,
    TemplateDocument,
)
from endivegw.configuration.model import TargetKind, TargetParameters
from endivegw.configuration.parameters import PARAMETER_NAMES, Parameters
from endivegw.results import Done, Reason, Refused
from endivegw.types import (
    AvailabilityZone,
    ClientAccountName,
    ConfigRevision,
    Priority,
    TargetName,
)

__all__ = [
    "ChangesMessage",
    "ConfigMessage",
    "DocumentsMessage",
    "MAX_DECOMPRESSED_BYTES",
    "MAX_MESSAGE_BYTES",
    "document_text",
    "encode_change",
    "encode_message",
    "parse_change",
    "parse_document",
    "parse_message",
]

#: Version of the JSON format; readers refuse unknown versions.
_FORMAT_VERSION = 1

#: Limits of the compressed and the decompressed size. 99,000 budget names, 280
#: accounts and 650 targets take 1.7 MB of JSON and 0.6 MB compressed. The limits allow
#: three times as much and keep a faulty or malicious peer from exhausting a daemon's
#: 64 MB of memory.
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
MAX_DECOMPRESSED_BYTES = 6 * 1024 * 1024

#: Level 1 compresses 1.7 MB, the intended size, to 0.62 MB in 26 ms of processor time;
#: level 6 to 0.57 MB in 68 ms.
_COMPRESSION_LEVEL = 1

Json = dict[str, Any]


@frozen
class DocumentsMessage:
    """Carry the complete configuration."""

    documents: Documents


@frozen
class ChangesMessage:
    """Carry all changes after a revision, without gaps.

    :param after: the revision that the first change follows.
    """

    after: ConfigRevision
    changes: tuple[Change, ...]


ConfigMessage = DocumentsMessage | ChangesMessage


def document_text(document: Document) -> str:
    """Return a document as JSON; equal documents have identical text."""
    return _dump(_encode_document(document))


def parse_document(name: DocumentName, text: str) -> Document:
    """Parse the JSON of the document with the given name.

    :raises ValueError: if the text is not a valid document of this kind.
    """
    return _parse_document(name, json.loads(text))


def encode_change(change: Change) -> str:
    """Return the content of a change as JSON, without revision and metadata."""
    return _dump(
        {
            "puts": [
                [
                    document.name.kind.value,
                    document.name.name,
                    _encode_document(document),
                ]
                for document in change.puts
            ],
            "removed": [[name.kind.value, name.name] for name in change.removed],
        }
    )


def parse_change(
    revision: int,
    operation_id: str,
    operator: str,
    at_s: float,
    summary: str,
    text: str,
) -> Change:
    """Parse a change from the fields of its row.

    :raises ValueError: if the text is not a valid change.
    """
    value = json.loads(text)
    return Change(
        ConfigRevision(revision),
        operation_id,
        operator,
        at_s,
        summary,
        tuple(
            _parse_document(DocumentName(DocumentKind(kind), name), document)
            for kind, name, document in value["puts"]
        ),
        tuple(
            DocumentName(DocumentKind(kind), name) for kind, name in value["removed"]
        ),
    )


def encode_message(message: ConfigMessage) -> bytes:
    """Encode a message as compressed bytes.

    Each line contains one document or change. Encoding several megabytes of JSON in
    a single call would block the interpreter, and a daemon could not serve requests
    meanwhile.
    """
    match message:
        case DocumentsMessage(documents):
            lines = [_dump({"form": _FORMAT_VERSION, "revision": documents.revision})]
            lines += [
                _dump([name.kind.value, name.name, _encode_document(document)])
                for name, document in sorted(documents.by_name.items())
            ]
        case ChangesMessage(after, changes):
            lines = [_dump({"form": _FORMAT_VERSION, "after": after})]
            lines += [_dump(_change_value(change)) for change in changes]
    return zlib.compress("\n".join(lines).encode(), _COMPRESSION_LEVEL)


def parse_message(body: bytes) -> Done[ConfigMessage] | Refused:
    """Decode a message received from a peer or the object store."""
    if len(body) > MAX_MESSAGE_BYTES:
        return Refused(
            Reason.BODY_TOO_LARGE,
            f"configuration of {len(body)} bytes exceeds {MAX_MESSAGE_BYTES} bytes",
        )
    try:
        return _parse_plain(_decompress(body))
    except (ValueError, KeyError, TypeError, zlib.error) as error:
        return Refused(Reason.BAD_REQUEST, f"malformed configuration: {error!r}")


def _decompress(body: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    plain = decompressor.decompress(body, MAX_DECOMPRESSED_BYTES)
    if not decompressor.eof:
        raise ValueError(
            f"truncated, or more than {MAX_DECOMPRESSED_BYTES} bytes decompressed"
        )
    return plain


def _parse_plain(plain: bytes) -> Done[ConfigMessage] | Refused:
    head, *lines = plain.split(b"\n")
    value = json.loads(head)
    if value["form"] != _FORMAT_VERSION:
        return Refused(
            Reason.BAD_REQUEST, f"unknown configuration format {value['form']}"
        )
    if "after" in value:
        changes = tuple(_parse_change_value(json.loads(line)) for line in lines)
        return Done(ChangesMessage(ConfigRevision(int(value["after"])), changes))
    by_name = {}
    for line in lines:
        kind, name, item = json.loads(line)
        document_name = DocumentName(DocumentKind(kind), name)
        by_name[document_name] = _parse_document(document_name, item)
    revision = ConfigRevision(int(value["revision"]))
    return Done(DocumentsMessage(Documents(revision, by_name)))


def _change_value(change: Change) -> Json:
    return {
        "revision": change.revision,
        "operation_id": change.operation_id,
        "operator": change.operator,
        "at_s": change.at_s,
        "summary": change.summary,
        "change": encode_change(change),
    }


def _parse_change_value(value: Json) -> Change:
    return parse_change(
        int(value["revision"]),
        str(value["operation_id"]),
        str(value["operator"]),
        float(value["at_s"]),
        str(value["summary"]),
        value["change"],
    )


def _dump(value: object) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"))


def _encode_document(document: Document) -> Json:
    match document:
        case TemplateDocument(parameters=parameters):
            return {"parameters": _encode_parameters(parameters)}
        case AccountDocument():
            return {
                "template": document.template,
                "key_hashes": list(document.key_hashes),
                "enabled": document.enabled,
                "parameters": _encode_parameters(document.parameters),
            }
        case TargetDocument(parameters):
            value = asdict(parameters)
            value["kind"] = parameters.kind.value
            del value["target"]
            return value


def _parse_document(name: DocumentName, value: Mapping[str, Any]) -> Document:
    match name.kind:
        case DocumentKind.TEMPLATE:
            return TemplateDocument(name.name, _parse_parameters(value["parameters"]))
        case DocumentKind.ACCOUNT:
            return AccountDocument(
                ClientAccountName(name.name),
                str(value["template"]),
                tuple(value["key_hashes"]),
                bool(value["enabled"]),
                _parse_parameters(value["parameters"]),
            )
        case DocumentKind.TARGET:
            return TargetDocument(_parse_target(name.name, value))


def _parse_target(name: str, value: Mapping[str, Any]) -> TargetParameters:
    return TargetParameters(
        TargetName(name),
        TargetKind(value["kind"]),
        AvailabilityZone(value["availability_zone"]),
        tuple(value["serves"]),
        str(value["version"]),
        bool(value["checks_fence"]),
        bool(value["drained"]),
        bool(value["stopped"]),
    )


def _encode_parameters(parameters: Parameters) -> Json:
    values = asdict(parameters)
    if parameters.priority is not None:
        values["priority"] = parameters.priority.name.lower()
    return {name: value for name, value in values.items() if value is not None}


def _parse_parameters(value: Mapping[str, Any]) -> Parameters:
    # During an upgrade of a fleet, operators may set a parameter that daemons of the
    # older version do not know. Refusing the document would block these daemons from
    # all later changes, so unknown parameters are ignored.
    values: Json = {
        name: tuple(item) if isinstance(item, list) else item
        for name, item in value.items()
        if name in PARAMETER_NAMES
    }
    if "priority" in values:
        values["priority"] = Priority[values["priority"].upper()]
    return Parameters(**values)
