"""Generator of the thrift definition of the peer messages from their data classes.

``bin/generate`` runs it; a test compares its output with the committed `peer.thrift`.
"""

from __future__ import annotations

import dataclasses
import types
import typing
from typing import Any

from hollyring.node import catalogue, thrift_names

_SCALARS = {bool: "bool", int: "i64", float: "double", str: "string", bytes: "binary"}


def definition() -> str:
    """Return the text of `peer.thrift`."""
    printed: dict[str, str] = {}
    for class_ in catalogue.MESSAGES.values():
        _print_struct(class_, printed)
    head = "// Messages between VMs. Printed by bin/generate; do not edit.\n"
    return head + "\n" + "\n".join(printed.values())


def _print_struct(class_: type, printed: dict[str, str]) -> None:
    name = thrift_names.thrift_name(class_)
    if name in printed:
        return
    hints = typing.get_type_hints(class_)
    lines = []
    for number, field in enumerate(dataclasses.fields(class_), start=1):
        type_name = _type(hints[field.name], printed)
        lines.append(f"  {number}: optional {type_name} {thrift_names.field_name(field)}\n")
    printed[name] = f"struct {name} {{\n{''.join(lines)}}}\n"


def _type(hint: Any, printed: dict[str, str]) -> str:
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        return _type(typing.get_args(hint)[0], printed)
    if origin in (list, tuple):
        return f"list<{_type(typing.get_args(hint)[0], printed)}>"
    if dataclasses.is_dataclass(hint):
        _print_struct(typing.cast(type, hint), printed)
        return thrift_names.thrift_name(typing.cast(type, hint))
    return _SCALARS[hint]


if __name__ == "__main__":
    print(definition(), end="")
