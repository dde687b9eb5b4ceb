"""Objects of a configuration, and their JSON form.

Objects are immutable `msgspec.Struct` classes instead of data classes, because structs reject
unknown fields and support tagged unions. `encode` omits fields that equal their defaults, so that
a later version can add fields without changing the encoding of existing objects.
"""

from __future__ import annotations

import functools
import hashlib
import typing

import msgspec

EngineRole = typing.Literal["both", "prefill", "decode"]
UpstreamKind = typing.Literal["engine", "cache_store", "service"]


class _Object(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
    gc=False,
    tag_field="object",
    tag=str.lower,
):
    """Base class of all objects; the JSON field ``object`` contains the kind."""


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """API key of a caller, stored as a digest.

    Parameters
    ----------
    identity
        Name of the key in logs and for its revocation; not secret.
    digest
        SHA-256 of the secret, in lowercase hexadecimal.
    """

    identity: str
    digest: str


class Deployment(_Object, frozen=True):
    """Settings of the whole deployment; a configuration contains exactly one.

    Parameters
    ----------
    name
        Unique name; prevents the submission of one deployment's configuration to another's store.
    concurrent_loads
        Maximum number of inference servers that load weights at the same time.
    """

    name: str
    concurrent_loads: int = 1


class Organisation(_Object, frozen=True):
    """An organisation with its keys, models and rate limit.

    Parameters
    ----------
    name
        Unique name.
    rate
        Rate limit in tokens per second, over all VMs together.
    burst
        Burst size of the rate limit in tokens, over all VMs together.
    weight
        Weight in fair queueing, relative to the other organisations.
    keys
        API keys of the organisation's callers.
    models
        Names of the models that it may use; empty for all models.
    """

    name: str
    rate: float
    burst: int
    weight: float = 1.0
    keys: tuple[Key, ...] = ()
    models: tuple[str, ...] = ()


class Model(_Object, frozen=True):
    """A model and the version of its weights."""

    name: str
    version: str


class Adapter(_Object, frozen=True):
    """An adapter of a model and its version."""

    name: str
    model: str
    version: str


class Upstream(_Object, frozen=True):
    """A server that receives requests or stores cached blocks.

    Parameters
    ----------
    name
        Unique name.
    kind
        ``"engine"`` (inference server), ``"cache_store"`` (KV cache store) or ``"service"``.
    address
        ``"http://IP:PORT"``.
    region, failure_domain
        Location of the server.
    models
        Inference servers only: names of the models that it serves.
    role
        Inference servers only: phases of a request that it processes.
    checks_fencing
        Inference servers only: whether it rejects rollout orders with a stale fencing token.
    leaving
        Whether it is draining and gets no new requests.
    """

    name: str
    kind: UpstreamKind
    address: str
    region: str
    failure_domain: str
    models: tuple[str, ...] = ()
    role: EngineRole = "both"
    checks_fencing: bool = False
    leaving: bool = False


class Route(_Object, frozen=True):
    """A route of HTTP calls to upstreams of kind ``"service"``.

    Parameters
    ----------
    path_prefix
        Prefix of the paths that this route applies to; the route with the longest prefix is used.
    upstreams
        Names of the upstreams that calls may be sent to.
    methods
        Allowed HTTP methods.
    idempotent
        Whether a call may be retried if its outcome is unknown.
    open_to_all
        Whether calls without a key are allowed.
    """

    path_prefix: str
    upstreams: tuple[str, ...]
    methods: tuple[str, ...] = ("GET",)
    idempotent: bool = False
    open_to_all: bool = False

    @property
    def name(self) -> str:
        """The path prefix, which serves as the name of the route."""
        return self.path_prefix


class VM(_Object, frozen=True):
    """A VM that runs the router, and the addresses that it listens on.

    Parameters
    ----------
    name
        Unique name, the same as in the platform's list of VMs.
    region, failure_domain
        Location of the VM.
    caller_address, peer_address, admin_address
        ``"IP:PORT"`` for callers, for other VMs and for operators.
    """

    name: str
    region: str
    failure_domain: str
    caller_address: str
    peer_address: str
    admin_address: str


Object = Deployment | Organisation | Model | Adapter | Upstream | Route | VM
"""Any object of a configuration."""

KINDS: dict[str, type[Object]] = {
    type_.__struct_config__.tag: type_  # type: ignore[misc]
    for type_ in (Deployment, Organisation, Model, Adapter, Upstream, Route, VM)
}
"""Object types by kind, as in the JSON field ``object``."""


class Identity(msgspec.Struct, frozen=True, order=True, forbid_unknown_fields=True):
    """Kind and name of an object, unique within a configuration.

    Examples
    --------
    >>> str(Identity("model", "parish-7b"))
    'model/parish-7b'
    """

    kind: str
    name: str

    def __str__(self) -> str:
        return f"{self.kind}/{self.name}"


def identity(item: Object) -> Identity:
    """Return the identity of an object.

    Examples
    --------
    >>> identity(Model("parish-7b", "3"))
    Identity(kind='model', name='parish-7b')
    """
    return Identity(str(type(item).__struct_config__.tag), item.name)


def encode(item: Object) -> bytes:
    """Return the canonical JSON of an object: equal objects have equal encodings.

    Fields are compared with their defaults by value. The ``omit_defaults`` option of msgspec
    compares by identity, so that a decoded object and an equal one created in Python would differ.

    Examples
    --------
    >>> encode(Model("parish-7b", "3"))
    b'{"object":"model","name":"parish-7b","version":"3"}'
    """
    type_ = type(item)
    document: dict[str, object] = {"object": type_.__struct_config__.tag}
    for name, default in _defaults(type_):
        value = getattr(item, name)
        if value != default:
            document[name] = value
    return msgspec.json.encode(document)


@functools.cache
def _defaults(type_: type[Object]) -> tuple[tuple[str, object], ...]:
    return tuple((field.name, field.default) for field in msgspec.structs.fields(type_))


def key_digest(secret: str) -> str:
    """Return the digest of a key's secret, for `Key.digest`.

    Examples
    --------
    >>> key_digest("demo-key-kigoma")[:16]
    '8b861513785b0461'
    """
    return hashlib.sha256(secret.encode()).hexdigest()
