"""Event IDs of one answer, by which a caller resumes the stream on any VM.

An event ID holds the number of tokens that the caller has received and a digest of their text,
seeded with the digest of the request. A VM that has not served the stream can therefore check
whether a text, sent by the caller or generated again, is the one that the caller has.
"""

from __future__ import annotations

import dataclasses

import xxhash

from hollyring.delivery import errors

SEPARATOR = "."
FIELD_COUNT = 4
MAX_ID_CHARACTERS = 512


@dataclasses.dataclass(slots=True)
class EventId:
    """ID of one event of a stream.

    Parameters
    ----------
    request_id
        ID of the request, without control characters.
    tokens
        Number of tokens that the caller has received with this event.
    digest
        Digest of their text, from `text_digest`.
    final
        Whether the event ended the answer.

    Examples
    --------
    >>> event_id = EventId("r-7", 12, 255, False)
    >>> str(event_id)
    'r-7.12.ff.0'
    >>> parse(str(event_id)) == event_id
    True
    """

    request_id: str
    tokens: int
    digest: int
    final: bool = False

    def __str__(self) -> str:
        return f"{self.request_id}.{self.tokens}.{self.digest:x}.{self.final:d}"


def parse(text: str) -> EventId:
    """Parse an event ID.

    Raises
    ------
    EventIdError
        If `text` is not the string form of an `EventId`.
    """
    fields = text.rsplit(SEPARATOR, FIELD_COUNT - 1)
    if len(text) > MAX_ID_CHARACTERS or len(fields) != FIELD_COUNT or not fields[0]:
        raise errors.EventIdError(f"not an event identity: {text[:64]!r}")
    request_id, tokens, digest, final = fields
    try:
        event_id = EventId(request_id, int(tokens), int(digest, 16), final == "1")
    except ValueError as error:
        raise errors.EventIdError(f"not an event identity: {text[:64]!r}") from error
    if str(event_id) != text or event_id.tokens < 0:
        raise errors.EventIdError(f"not an event identity: {text[:64]!r}")
    return event_id


def request_digest(body: bytes) -> int:
    """Return the digest of the request `body`, the seed of its `text_digest`."""
    return xxhash.xxh3_64_intdigest(body)


def text_digest(seed: int, text: str) -> int:
    """Return the digest of the text of an answer so far."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed=seed)
