"""Who a caller is: keys are checked here and go no further."""

from __future__ import annotations

import dataclasses

from hollyring.configuration import objects, state
from hollyring.delivery import refusal
from hollyring.node import asgi

MAX_KEY_BYTES = 512


@dataclasses.dataclass(frozen=True, slots=True)
class Caller:
    """An organisation and the digest of the key that was shown; never the key itself."""

    organisation: objects.Organisation
    digest: str
    revision: int


def key_digest(scope: asgi.Scope) -> str:
    """Return the digest of the key in the request's header, or an empty string.

    Only digests are looked up, so the time a look-up takes says nothing of a granted key.
    """
    header = asgi.header(scope, b"authorization")
    if not header.lower().startswith("bearer "):
        return ""
    secret = header[len("bearer ") :].strip()
    if not 0 < len(secret) <= MAX_KEY_BYTES:
        return ""
    return objects.key_digest(secret)


def authenticate(scope: asgi.Scope, configuration: state.Configuration) -> Caller | refusal.Refusal:
    """Return who calls, by the configuration in force."""
    digest = key_digest(scope)
    organisation = configuration.organisation_for_key(digest) if digest else None
    if organisation is None:
        return refusal.make("invalid_key")
    return Caller(organisation, digest, configuration.revision)


def is_still_valid(caller: Caller, configuration: state.Configuration) -> bool:
    """Tell whether the caller's key still belongs to its organisation."""
    if configuration.revision == caller.revision:
        return True
    organisation = configuration.organisation_for_key(caller.digest)
    return organisation is not None and organisation.name == caller.organisation.name


def permits(caller: Caller, model: str) -> bool:
    """Tell whether the caller's organisation may use `model`."""
    allowed = caller.organisation.models
    return not allowed or model in allowed
