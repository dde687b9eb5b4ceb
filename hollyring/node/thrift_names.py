"""Wire names of message classes and of their fields.

A message is named after its package and class, and a field after its attribute. A class attribute
``WIRE_NAME: typing.ClassVar[str]`` overrides the class's part of the name; the metadata entry
`WIRE_NAME_KEY` of `dataclasses.field` overrides the name of a field. Identifiers can thus be
renamed while the bytes and `peer.thrift` stay the same.
"""

from __future__ import annotations

import dataclasses
from typing import Any

WIRE_NAME_KEY = "wire_name"
"""Key of a field's metadata whose value is the name of the field on the wire."""


def wire_name(class_: type) -> str:
    """Return the name of a message class on the wire, e.g. ``limits.Grant``."""
    return f"{class_.__module__.split('.')[1]}.{_class_name(class_)}"


def thrift_name(class_: type) -> str:
    """Return the name of a message class's thrift struct, e.g. ``LimitsGrant``."""
    package = class_.__module__.split(".")[1]
    return package.capitalize() + _class_name(class_)


def field_name(field: dataclasses.Field[Any]) -> str:
    """Return the name of a message field on the wire and in its thrift struct."""
    name: str = field.metadata.get(WIRE_NAME_KEY, field.name)
    return name


def _class_name(class_: type) -> str:
    name: str = vars(class_).get("WIRE_NAME", class_.__name__)
    return name
