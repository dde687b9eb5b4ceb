"""Identities of the events of one answer, which let a caller resume at any VM.

An identity says how many tokens the caller has and bears a digest of their text, seeded with the
digest of the request. A VM that never saw the stream can therefore tell whether a text, sent by
the caller or generated again, is the one that the caller already has.
"""

from __future__ import annotations

import dataclasses

import xxhash

from hollyring.delivery import errors

SEPARATOR = "."
FIELDS = 4
MAX_ID_CHARACTERS = 512


@dataclasses.dataclass(slots=True)
class EventId:
    """The identity of one event of a stream.

    Parameters
    ----------
    request
        Identity of the request, without control characters.
    tokens
        Tokens that the caller has after this event.
    digest
        Digest of their text, from `text_digest`.
    final
        Whether the event ended the answer.

    Examples
    --------
    >>> identity = EventId("r-7", 12, 255, False)
    >>> str(identity)
    'r-7.12.ff.0'
    >>> parse(str(identity)) == identity
    True
    """

    request_id: str
    tokens: int
    digest: int
    final: bool = False

    def __str__(self) -> str:
        return f"{self.request_id}.{self.tokens}.{self.digest:x}.{self.final:d}"


def parse(text: str) -> EventId:
    """Return the identity that `text` stands for.

    Raises
    ------
    EventIdError
        If `text` was not written by `EventId`.
    """
    fields = text.rsplit(SEPARATOR, FIELDS - 1)
    if len(text) > MAX_ID_CHARACTERS or len(fields) != FIELDS or not fields[0]:
        raise errors.EventIdError(f"not an event identity: {text[:64]!r}")
    request, tokens, digest, final = fields
    try:
        identity = EventId(request, int(tokens), int(digest, 16), final == "1")
    except ValueError as error:
        raise errors.EventIdError(f"not an event identity: {text[:64]!r}") from error
    if str(identity) != text or identity.tokens < 0:
        raise errors.EventIdError(f"not an event identity: {text[:64]!r}")
    return identity


def request_digest(body: bytes) -> int:
    """Return the seed by which event identities are bound to the request `body`."""
    return xxhash.xxh3_64_intdigest(body)


def text_digest(seed: int, text: str) -> int:
    """Return the digest of all text of an answer so far."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed=seed)
