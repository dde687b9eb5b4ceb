"""Revisions as they are stored: immutable values, each holding its predecessor's digest.

Revision N lives under its own key, created only if absent. That creation is the submission's one
compare-and-swap: of two racing submissions on one base, one creates the key.
"""

from __future__ import annotations

import hashlib

import msgspec

from hollyring.configuration import errors, objects, state

MAX_VALUE_BYTES = 900_000
"""Largest stored value; the platform's service takes up to 1 MB."""

_PREFIX = "config/revision/"


class Revision(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One accepted change.

    Parameters
    ----------
    revision
        Its number.
    previous
        Digest of the preceding revision's stored value; empty for the first.
    content
        `Configuration.content` after this change, in hexadecimal.
    submission
        Identity that the submitter drew; finds out whose write took effect.
    author, at
        Who submitted it and when, for people only.
    put, delete
        The change, object by object.
    roster
        `Configuration.roster` after this change.
    """

    revision: int
    previous: str
    content: str
    submission: str
    author: str = ""
    at: str = ""
    put: tuple[objects.Object, ...] = ()
    delete: tuple[objects.Identity, ...] = ()
    roster: state.Roster = state.Roster()

    @property
    def changed_identities(self) -> list[objects.Identity]:
        """Identities of the objects that the change put or deleted, in order."""
        return sorted([*(objects.identity(item) for item in self.put), *self.delete])


def key(revision: int) -> str:
    """Return the key of a revision.

    Examples
    --------
    >>> key(7)
    'config/revision/7'
    """
    return f"{_PREFIX}{revision}"


def digest(value: bytes) -> str:
    """Return the digest of a stored value."""
    return hashlib.sha256(value).hexdigest()


def encode(revision: Revision) -> bytes:
    """Return a revision's stored value.

    Raises
    ------
    ConfigurationError
        If the change is too large for one value.
    """
    document = msgspec.structs.asdict(revision)
    document["put"] = [msgspec.Raw(objects.encode(item)) for item in revision.put]
    value = msgspec.json.encode(document)
    if len(value) > MAX_VALUE_BYTES:
        raise errors.ConfigurationError(
            f"change of {len(value)} bytes: allowed: {MAX_VALUE_BYTES}, submit it in parts"
        )
    return value


def decode(value: bytes) -> Revision:
    """Return the revision of a stored value.

    Raises
    ------
    UnusableRevisionError
        If the value is no revision that this version of the program knows.
    """
    try:
        return msgspec.json.decode(value, type=Revision)
    except msgspec.DecodeError as error:
        raise errors.UnusableRevisionError(f"stored revision: {error}") from error


def apply(configuration: state.Configuration, value: bytes) -> state.Configuration:
    """Return `configuration` with the next revision's stored value applied.

    Raises
    ------
    UnusableRevisionError
        If the value can't be decoded or does not give the content that it states.
    DivergedError
        If the value is not the successor of this configuration.
    """
    revision = decode(value)
    if revision.revision != configuration.revision + 1:
        raise errors.DivergedError(f"revision {revision.revision} after {configuration.revision}")
    if revision.previous != configuration.digest:
        raise errors.DivergedError(f"revision {revision.revision} follows another history")
    changed = configuration.with_changes(
        revision.revision, digest(value), revision.put, revision.delete
    )
    if f"{changed.content:064x}" != revision.content or changed.roster != revision.roster:
        raise errors.UnusableRevisionError(
            f"revision {revision.revision} does not give the content it states"
        )
    return changed


def encode_next(
    configuration: state.Configuration,
    submission: str,
    put: tuple[objects.Object, ...],
    delete: tuple[objects.Identity, ...],
    author: str = "",
    at: str = "",
) -> bytes:
    """Return the stored value that changes `configuration` into its next revision.

    Examples
    --------
    >>> value = encode_next(state.Configuration(), "s-1", (objects.Model("parish-7b", "3"),), ())
    >>> apply(state.Configuration(), value).models["parish-7b"].version
    '3'
    """
    number = configuration.revision + 1
    changed = configuration.with_changes(number, "", put, delete)
    content = changed.content
    previous = configuration.digest
    return encode(
        Revision(
            number,
            previous,
            f"{content:064x}",
            submission,
            author,
            at,
            put,
            delete,
            changed.roster,
        )
    )
