"""Decoding of JSON that other processes wrote, whose every failure has one type.

Whole numbers are bounded by what the messages between VMs carry (64 bits with a sign), and names by
what is sent on in headers and records: what does not fit there is not accepted here.
"""

from __future__ import annotations

import json
from typing import Annotated, TypeVar

import msgspec

MAX_WHOLE_NUMBER = 2**63 - 1
MAX_NAME_CHARACTERS = 200
MAX_HOST_CHARACTERS = 253
MAX_PORT = 65_535
PORT_DIGITS = 5
REPLACEMENT = "\ufffd"
"""Character that stands for bytes that are no UTF-8."""

WholeNumber = Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE_NUMBER)]
Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]

_Decoded = TypeVar("_Decoded")


class UnreadableError(Exception):
    """Bytes are no JSON, are nested too deeply, or do not have the expected form."""


def decode(data: bytes, type_: type[_Decoded]) -> _Decoded:
    """Return the value of `type_` that `data` encodes.

    Raises
    ------
    UnreadableError
        Whatever the reason is for which `data` cannot be decoded.

    Examples
    --------
    >>> decode(b"[1]", list[int])
    [1]
    >>> decode(b"[" * 100_000, list[int])
    Traceback (most recent call last):
        ...
    hollyring.platform.decoding.UnreadableError: Expected `int`, got `array` - at `$[0]`
    """
    try:
        return msgspec.json.decode(data, type=type_)
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError) as error:
        raise UnreadableError(str(error)) from error


def decode_with_odd_text(data: bytes, type_: type[_Decoded]) -> _Decoded:
    """Return the value of `type_` that `data` encodes, also if a text in it is not Unicode.

    Such a text comes with characters for which `is_text` is false.

    Raises
    ------
    UnreadableError
        If `data` cannot be decoded for another reason.

    Examples
    --------
    >>> is_text(decode_with_odd_text(b'"a\\xff"', str))
    False
    """
    try:
        return decode(data, type_)
    except UnreadableError:
        return _decode_replacing(data, type_)


def _decode_replacing(data: bytes, type_: type[_Decoded]) -> _Decoded:
    try:
        return msgspec.convert(json.loads(data.decode(errors="replace")), type_)
    except (msgspec.MsgspecError, RecursionError, ValueError, OverflowError) as error:
        raise UnreadableError(str(error)) from error


def is_text(text: str) -> bool:
    """Return whether `text` is Unicode as far as can be told: without a surrogate or a replacement.

    Examples
    --------
    >>> is_text("servers/i-1"), is_text("servers/" + chr(0xD800)), is_text("servers/" + chr(0xFFFD))
    (True, False, False)
    """
    return not any(char == REPLACEMENT or "\ud800" <= char <= "\udfff" for char in text)


def is_name(text: str) -> bool:
    """Return whether `text` can name something: it is not empty, and a header can carry it.

    Examples
    --------
    >>> is_name("i-1"), is_name(""), is_name("i-1\\r\\nhost: h")
    (True, False, False)
    """
    return 0 < len(text) <= MAX_NAME_CHARACTERS and text.isprintable()


def is_address(text: str) -> bool:
    """Return whether `text` has the form ``"HOST:PORT"`` of an address to connect to.

    Examples
    --------
    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1:0"), is_address("10.0.0.1:70000")
    (True, False, False)
    """
    host, _, port = text.rpartition(":")
    if not 0 < len(host) <= MAX_HOST_CHARACTERS or not host.isprintable() or " " in host:
        return False
    if not 0 < len(port) <= PORT_DIGITS or not (port.isascii() and port.isdigit()):
        return False
    return 0 < int(port) <= MAX_PORT
