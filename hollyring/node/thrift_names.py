"""Names of the thrift structs that stand for message classes."""

from __future__ import annotations


def wire_name(class_: type) -> str:
    """Return a message class's name on the wire, e.g. ``limits.Grant``."""
    return f"{class_.__module__.split('.')[1]}.{class_.__name__}"


def thrift_name(class_: type) -> str:
    """Return the thrift struct's name of a message class, e.g. ``LimitsGrant``."""
    package = class_.__module__.split(".")[1]
    return package.capitalize() + class_.__name__
