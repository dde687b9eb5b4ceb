"""Values that another writer may leave in place of any value of a JSON document."""

import json

LEVELS = 200_000
LONG = 1_000_000

VALUES = {
    "deep lists": b"[" * LEVELS + b"]" * LEVELS,
    "deep objects": b'{"a":' * LEVELS + b"1" + b"}" * LEVELS,
    "deep and open": b"[" * LEVELS,
    "1e400": b"1e400",
    "-1e400": b"-1e400",
    "1e308": b"1e308",
    "10^30": b"1" + b"0" * 30,
    "10^400": b"1" + b"0" * 400,
    "5000 digits": b"9" * 5000,
    "1 MB of digits": b"9" * LONG,
    "5000 digits in a text": b'"' + b"9" * 5000 + b'"',
    "fraction": b"1.5",
    "negative zero": b"-0.0",
    "NaN": b"NaN",
    "infinity": b"Infinity",
    "negative": b"-5",
    "2^63": b"9223372036854775808",
    "2^64": b"18446744073709551616",
    "half a surrogate": b'"\\ud800"',
    "NUL": b'"a\\u0000b"',
    "line break": b'"a\\r\\nx-tenant: t"',
    "no UTF-8": b'"\xff\xfe"',
    "empty text": b'""',
    "1 MB of text": b'"' + b"x" * LONG + b'"',
    "list": b"[]",
    "object": b"{}",
    "null": b"null",
    "true": b"true",
    "no JSON": b"\x00\x01",
    "nothing": b"",
}

ADDRESSES = [
    "",
    ":80",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:70000",
    "127.0.0.1:" + "9" * 5000,
    "127.0.0.1:-1",
    "127.0.0.1:\u00b2",
    "\0:80",
    "a b:80",
    "a\r\nx-tenant: t:80",
    "x" * 300 + ":80",
]
"""Texts that name no address to connect to."""

_MARK = "@@"


def put(document, path, value):
    """Return the JSON of a document with the bytes `value` at a path of keys and positions."""
    text = json.dumps(_marked(document, path)).encode()
    return text.replace(json.dumps(_MARK).encode(), value)


def paths(document):
    """Return the paths of all values of a document, its own first, and of an unknown field."""
    return [(), ("unknown",), *_inner_paths(document, ())]


def documents(document):
    """Yield a description and the bytes of the document with each odd value at each path."""
    for path in paths(document):
        for name, value in VALUES.items():
            yield f"{path}: {name}", put(document, path, value)


def _marked(document, path):
    if not path:
        return _MARK
    first, *rest = path
    if isinstance(document, dict):
        return document | {first: _marked(document.get(first), rest)}
    return [_marked(v, rest) if n == first else v for n, v in enumerate(document)]


def _inner_paths(document, path):
    inner = enumerate(document) if isinstance(document, list) else ()
    for key, value in document.items() if isinstance(document, dict) else inner:
        yield (*path, key)
        yield from _inner_paths(value, (*path, key))
