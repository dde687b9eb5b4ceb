"""Stored form of revisions: immutable values, each with the digest of its predecessor.

Revision N is stored under its own key, which is created only if absent. This is the only
compare-and-swap of a submission: of two concurrent submissions with the same base, one creates
the key.
"""

from __future__ import annotations

import hashlib

import msgspec

from hollyring.configuration import errors, objects, state

MAX_VALUE_BYTES = 900_000
"""Maximum size of a stored value; the store accepts up to 1 MB."""

_PREFIX = "config/revision/"


class Revision(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One accepted change.

    Parameters
    ----------
    revision
        Number of the revision.
    previous
        Digest of the previous revision's stored value; empty for the first.
    content
        `Configuration.content` after this change, in hexadecimal.
    submission
        Unique identity of the submission, which shows whose write took effect.
    author, at
        Author and time of the submission, for information only.
    put, delete
        Objects that the change adds or replaces, and identities of those that it deletes.
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
        """Sorted identities of the objects that the change put or deleted."""
        return sorted([*(objects.identity(item) for item in self.put), *self.delete])


def key(revision: int) -> str:
    """Return the store key of a revision.

    Examples
    --------
    >>> key(7)
    'config/revision/7'
    """
    return f"{_PREFIX}{revision}"


def digest(value: bytes) -> str:
    """Return the hexadecimal SHA-256 digest of a stored value."""
    return hashlib.sha256(value).hexdigest()


def encode(revision: Revision) -> bytes:
    """Return the stored value of a revision.

    Raises
    ------
    ConfigurationError
        If the value exceeds `MAX_VALUE_BYTES`.
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
    """Return the revision in a stored value.

    Raises
    ------
    UnusableRevisionError
        If the value is not a revision in a format that this version of the program supports.
    """
    try:
        return msgspec.json.decode(value, type=Revision)
    except msgspec.DecodeError as error:
        raise errors.UnusableRevisionError(f"stored revision: {error}") from error


def apply(configuration: state.Configuration, value: bytes) -> state.Configuration:
    """Return the configuration that results from the stored value of the next revision.

    Raises
    ------
    UnusableRevisionError
        If the value cannot be decoded or its content hash is not that of the result.
    DivergedError
        If the value is not the successor of this configuration.
    """
    revision = decode(value)
    if revision.revision != configuration.revision + 1:
        raise errors.DivergedError(
            f"revision {revision.revision} is not the successor of {configuration.revision}"
        )
    if revision.previous != configuration.digest:
        raise errors.DivergedError(
            f"revision {revision.revision}: digest of the previous revision differs"
        )
    changed = configuration.with_changes(
        revision.revision, digest(value), revision.put, revision.delete
    )
    if f"{changed.content:064x}" != revision.content or changed.roster != revision.roster:
        raise errors.UnusableRevisionError(
            f"revision {revision.revision}: content hash or roster differs from the result"
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
    """Return the stored value of the revision that follows `configuration`, with these changes.

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
