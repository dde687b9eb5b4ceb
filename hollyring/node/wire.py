"""Codec of the messages between VMs, in the thrift compact protocol.

A message is a frozen data class that is registered under its wire name, ``"package.Name"``. The
corresponding thrift structs are generated from `peer.thrift` (see ``bin/generate``) and committed;
`Codec` copies the fields between the two. `thrift_names` maps the names.
"""

from __future__ import annotations

import dataclasses
import functools
import operator
import types
import typing
from collections.abc import Callable
from typing import Any

from thrift.protocol import TCompactProtocol
from thrift.Thrift import TException, TMessageType
from thrift.transport import TTransport

from hollyring.node import errors, thrift_names
from hollyring.node.generated.peer import ttypes

MAX_MESSAGE_BYTES = 4_000_000
"""Maximum size of a message that is accepted from a peer."""

MIN_GETTER_FIELDS = 2
"""Least number of attributes of which `operator.attrgetter` returns a tuple."""

MAX_WHOLE_NUMBER = 2**63 - 1
MIN_WHOLE_NUMBER = -(2**63)

_UNREADABLE = (TException, EOFError, LookupError, ValueError, TypeError, OverflowError)
"""What the reading of malformed bytes raises."""


class Codec:
    """Encoder and decoder of a set of message classes.

    Parameters
    ----------
    classes
        Message classes by wire name.
    """

    __slots__ = ("_classes", "_names")

    def __init__(self, classes: dict[str, type]) -> None:
        self._classes = classes
        self._names = {class_: name for name, class_ in classes.items()}

    def encode(
        self, message: object, sequence: int = 0, message_type: int = TMessageType.ONEWAY
    ) -> bytes:
        """Return the bytes of `message`; a call and its reply have the same `sequence`.

        A whole number that does not fit into 64 bits, such as a sum, is sent as the nearest that
        does.
        """
        name, struct = self._names[type(message)], _to_thrift(message)
        try:
            return _write(name, struct, sequence, message_type)
        except OverflowError:
            _fit_numbers(struct)
            return _write(name, struct, sequence, message_type)

    def decode(self, data: bytes) -> tuple[object, int, int]:
        """Return the message in `data`, its sequence number and its message type (`TMessageType`).

        Raises
        ------
        PeerError
            If `data` is too long, malformed, or a message of an unregistered class.
        """
        if len(data) > MAX_MESSAGE_BYTES:
            raise errors.PeerError(f"message is too long: {len(data)} bytes")
        protocol = TCompactProtocol.TCompactProtocolAccelerated(
            TTransport.TMemoryBuffer(data),
            string_length_limit=MAX_MESSAGE_BYTES,
            container_length_limit=MAX_MESSAGE_BYTES,
        )
        try:
            name, message_type, sequence = protocol.readMessageBegin()
            class_ = self._classes[name]
            struct = _struct_class(class_)()
            struct.read(protocol)
            return _from_thrift(struct, class_), sequence, message_type
        except _UNREADABLE as error:
            raise errors.PeerError(f"unreadable message: {type(error).__name__}") from error


@dataclasses.dataclass(frozen=True, slots=True)
class _Field:
    """How a field of a data class is copied.

    Parameters
    ----------
    name, wire_name
        Its names in the data class and in the thrift struct.
    nested
        Data class of its value, or of the items of its value; None for other values.
    is_list
        Whether its value is a list.
    is_optional
        Whether it has a default value, which stands for one that an earlier build does not send.
    """

    name: str
    wire_name: str
    nested: type | None
    is_list: bool
    is_optional: bool


@functools.cache
def _fields(class_: type) -> list[_Field]:
    hints = typing.get_type_hints(class_)
    return [
        _Field(f.name, thrift_names.field_name(f), *_nested(hints[f.name]), _has_default(f))
        for f in dataclasses.fields(class_)
    ]


def _has_default(field: dataclasses.Field[Any]) -> bool:
    missing = dataclasses.MISSING
    return field.default is not missing or field.default_factory is not missing


@functools.cache
def _struct_class(class_: type) -> type:
    """Return the generated class of the thrift struct that corresponds to a data class."""
    struct_class: type = getattr(ttypes, thrift_names.thrift_name(class_))
    return struct_class


def _nested(hint: Any) -> tuple[type | None, bool]:
    """Return the data class inside `hint`, if any, and whether `hint` is a list."""
    origin = typing.get_origin(hint)
    if origin in (typing.Union, types.UnionType):
        inner = [part for part in typing.get_args(hint) if part is not type(None)]
        return _nested(inner[0])
    if origin in (list, tuple):
        element, _ = _nested(typing.get_args(hint)[0])
        return element, True
    nested = hint if isinstance(hint, type) and dataclasses.is_dataclass(hint) else None
    return nested, False


def _write(name: str, struct: Any, sequence: int, message_type: int) -> bytes:
    """Return the bytes of a thrift struct as a message.

    Raises
    ------
    OverflowError
        If one of its numbers has more than 64 bits.
    """
    buffer = TTransport.TMemoryBuffer()
    protocol = TCompactProtocol.TCompactProtocolAccelerated(buffer)
    protocol.writeMessageBegin(name, message_type, sequence)
    struct.write(protocol)
    protocol.writeMessageEnd()
    return buffer.getvalue()


def _fit_numbers(struct: Any) -> None:
    """Replace the whole numbers of a thrift struct that have more than 64 bits."""
    for name in struct.__slots__:
        setattr(struct, name, _fitting(getattr(struct, name)))


def _fitting(value: Any) -> Any:
    match value:
        case bool() | float() | str() | bytes() | None:
            return value
        case int():
            return max(MIN_WHOLE_NUMBER, min(value, MAX_WHOLE_NUMBER))
        case list():
            return [_fitting(item) for item in value]
        case _:
            _fit_numbers(value)
            return value


def _to_thrift(message: Any) -> Any:
    class_: Any = type(message)
    struct = _struct_class(class_)()
    for field in _fields(class_):
        value = getattr(message, field.name)
        if value is not None and field.is_list:
            value = [_to_thrift(item) for item in value] if field.nested else list(value)
        elif value is not None and field.nested:
            value = _to_thrift(value)
        setattr(struct, field.wire_name, value)
    return struct


def _from_thrift(struct: Any, class_: type) -> Any:
    values = {}
    for field in _fields(class_):
        value = getattr(struct, field.wire_name)
        if value is None and field.is_optional:
            continue
        if value is not None and field.nested:
            nested = field.nested
            value = (
                _from_thrift_list(value, nested) if field.is_list else _from_thrift(value, nested)
            )
        values[field.name] = value
    return class_(**values)


def _from_thrift_list(structs: list[Any], class_: type) -> list[Any]:
    """Return the data objects of some structs, which mostly have all of their fields."""
    plain_values = _plain_values(class_)
    if plain_values is None:
        return [_from_thrift(struct, class_) for struct in structs]
    copied = []
    for struct in structs:
        values = plain_values(struct)
        copied.append(_from_thrift(struct, class_) if None in values else class_(*values))
    return copied


@functools.cache
def _plain_values(class_: type) -> Callable[[Any], tuple[Any, ...]] | None:
    """Return what reads all fields of a struct at once; None if they have to be copied."""
    fields = _fields(class_)
    if len(fields) < MIN_GETTER_FIELDS or any(field.nested for field in fields):
        return None
    return operator.attrgetter(*(field.wire_name for field in fields))
