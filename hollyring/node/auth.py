"""Authentication of callers; API keys are not passed beyond this module."""

from __future__ import annotations

import dataclasses

from hollyring.configuration import objects, state
from hollyring.delivery import refusal
from hollyring.node import asgi

MAX_KEY_BYTES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """Authenticated caller, with the digest of its API key but never the key itself."""

    organisation: objects.Organisation
    key_digest: str
    revision: int


def key_digest(scope: asgi.Scope) -> str:
    """Return the digest of the API key in the ``Authorization`` header, or an empty string.

    Only digests are looked up, so that the duration of a lookup reveals nothing about valid keys.
    """
    header = asgi.header(scope, b"authorization")
    if not header.lower().startswith("bearer "):
        return ""
    secret = header[len("bearer ") :].strip()
    if not 0 < len(secret) <= MAX_KEY_BYTES:
        return ""
    return objects.key_digest(secret)


def authenticate(scope: asgi.Scope, configuration: state.Configuration) -> Caller | refusal.Refusal:
    """Return the caller according to the current configuration, or a refusal."""
    digest = key_digest(scope)
    organisation = configuration.organisation_for_key(digest) if digest else None
    if organisation is None:
        return refusal.make("invalid_key")
    return Caller(organisation, digest, configuration.revision)


def is_still_valid(caller: Caller, configuration: state.Configuration) -> bool:
    """Return whether the caller's key still belongs to its organisation."""
    if configuration.revision == caller.revision:
        return True
    organisation = configuration.organisation_for_key(caller.key_digest)
    return organisation is not None and organisation.name == caller.organisation.name


def permits(caller: Caller, model: str) -> bool:
    """Return whether the caller's organisation may use `model`."""
    allowed = caller.organisation.models
    return not allowed or model in allowed
