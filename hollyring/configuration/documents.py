"""JSON documents that contain a whole configuration, with strict decoding."""

from __future__ import annotations

import dataclasses
import json
import typing

import msgspec

from hollyring.configuration import errors, objects

FORMAT = 1
"""Version of the document format."""


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A whole configuration, as declared by an operator.

    Parameters
    ----------
    objects
        All objects, in any order.
    """

    objects: list[objects.Object]


def encode(document: Document) -> str:
    """Return a document's JSON with one object per line, for readable diffs in version control.

    Examples
    --------
    >>> print(encode(Document([objects.Model("parish-7b", "3")])))
    {"format": 1, "objects": [
    {"object":"model","name":"parish-7b","version":"3"}
    ]}
    <BLANKLINE>
    """
    lines = ",\n".join(objects.encode(item).decode() for item in document.objects)
    return f'{{"format": {FORMAT}, "objects": [\n{lines}\n]}}\n'


def decode(text: str | bytes) -> Document:
    """Return the document in `text`, checked for syntax and types but not by `validation`.

    Raises
    ------
    InvalidConfigurationError
        Contains all syntax and type errors: field, value and allowed values.

    Examples
    --------
    >>> try:
    ...     decode('{"format": 1, "objects": [{"object": "model", "name": 3, "colour": "red"}]}')
    ... except errors.InvalidConfigurationError as error:
    ...     print("\\n".join(error.findings))
    objects[0] model.name: 3: allowed: Expected `str`, got `int`
    objects[0] model.colour: unknown field: allowed: name, version
    objects[0] model.version: missing: allowed: a value, it has no default
    """
    raw = _decode_objects(text)
    findings: list[str] = []
    items: list[objects.Object] = []
    for index, value in enumerate(raw):
        item_findings = _object_findings(f"objects[{index}]", value)
        findings += item_findings
        if not item_findings:
            items.append(msgspec.convert(value, objects.Object))
    if findings:
        raise errors.InvalidConfigurationError(findings)
    return Document(items)


def _decode_objects(text: str | bytes) -> list[typing.Any]:
    try:
        raw = msgspec.json.decode(text)
    except msgspec.DecodeError as error:
        raise errors.InvalidConfigurationError([f"document: not JSON: {error}"]) from error
    if not isinstance(raw, dict) or set(raw) != {"format", "objects"}:
        allowed = 'allowed: a JSON object with the fields "format" and "objects"'
        raise errors.InvalidConfigurationError([f"document: {allowed}"])
    if raw["format"] != FORMAT:
        shown = json.dumps(raw["format"])
        raise errors.InvalidConfigurationError([f"format: {shown}: allowed: {FORMAT}"])
    if not isinstance(raw["objects"], list):
        raise errors.InvalidConfigurationError(["objects: allowed: a list"])
    return raw["objects"]


def _object_findings(path: str, value: typing.Any) -> list[str]:
    if not isinstance(value, dict):
        return [f"{path}: {json.dumps(value)}: allowed: a JSON object"]
    kind = value.get("object")
    type_ = objects.KINDS.get(kind) if isinstance(kind, str) else None
    if type_ is None:
        return [f"{path}.object: {json.dumps(kind)}: allowed: {', '.join(objects.KINDS)}"]
    path = f"{path} {kind}"
    fields = {field.encode_name: field for field in msgspec.structs.fields(type_)}
    findings = []
    for name, part in value.items():
        if name == "object":
            continue
        if name not in fields:
            findings.append(f"{path}.{name}: unknown field: allowed: {', '.join(fields)}")
            continue
        findings += _field_findings(f"{path}.{name}", fields[name].type, part)
    for name, field in fields.items():
        if field.required and name not in value:
            findings.append(f"{path}.{name}: missing: allowed: a value, it has no default")
    return findings


def _field_findings(path: str, type_: typing.Any, value: typing.Any) -> list[str]:
    try:
        msgspec.convert(value, type_)
    except msgspec.ValidationError as error:
        # A key may contain the secret itself in place of its digest.
        shown = "(hidden)" if path.endswith(".keys") else json.dumps(value)
        return [f"{path}: {shown}: allowed: {error}"]
    return []
