"""The objects that a configuration is made of, and their JSON form.

Objects are immutable slotted `msgspec.Struct` classes rather than data classes, because only these
refuse unknown fields and decode a tagged union. `encode` leaves out a field that equals its
default, so a later version may add fields without changing what is already stored.
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
    """Base of every configured object; its JSON names the kind in the field ``object``."""


class Key(msgspec.Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """A caller's key, known by its digest only.

    Parameters
    ----------
    identity
        Name of the key for logs and for withdrawing it; no secret.
    digest
        SHA-256 of the secret, in lowercase hexadecimal.
    """

    identity: str
    digest: str


class Deployment(_Object, frozen=True):
    """The deployment as a whole; a configuration holds exactly one.

    Parameters
    ----------
    name
        Guards against submitting one deployment's configuration to another's platform.
    concurrent_loads
        Engines that may load weights at the same time.
    """

    name: str
    concurrent_loads: int = 1


class Organisation(_Object, frozen=True):
    """A tenant with its rights and its allowance over the whole fleet.

    Parameters
    ----------
    name
        Unique name.
    rate
        Tokens per second, over all VMs together.
    burst
        Tokens that may be used at once, over all VMs together.
    weight
        Share in fair queueing, relative to the other organisations.
    keys
        Keys that callers of this organisation may show.
    models
        Names of the models it may use; empty stands for every model.
    """

    name: str
    rate: float
    burst: int
    weight: float = 1.0
    keys: tuple[Key, ...] = ()
    models: tuple[str, ...] = ()


class Model(_Object, frozen=True):
    """A model in service and the version of its weights."""

    name: str
    version: str


class Adapter(_Object, frozen=True):
    """An adapter of a model and its version."""

    name: str
    model: str
    version: str


class Upstream(_Object, frozen=True):
    """A server that requests or cached blocks are sent to.

    Parameters
    ----------
    name
        Unique name.
    kind
        ``"engine"`` (language server), ``"cache_store"`` (KV cache store) or ``"service"``.
    address
        ``"http://IP:PORT"``.
    region, failure_domain
        Where it stands.
    models
        Engines only: models that it serves.
    role
        Engines only: the phase of a request that it takes.
    checks_fencing
        Engines only: whether it refuses an order with an old fencing number.
    leaving
        A leaving upstream gets no new work.
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
    """A path under which calls go to plain services.

    Parameters
    ----------
    path_prefix
        Calls whose path starts with it take this route; the longest prefix wins.
    upstreams
        Names of the upstreams of kind ``"service"`` that may answer.
    methods
        Methods that are let through.
    idempotent
        Whether a call may be repeated when its outcome is unknown.
    open_to_all
        Whether calls without a key are let through.
    """

    path_prefix: str
    upstreams: tuple[str, ...]
    methods: tuple[str, ...] = ("GET",)
    idempotent: bool = False
    open_to_all: bool = False

    @property
    def name(self) -> str:
        """The path prefix, which identifies a route."""
        return self.path_prefix


class VM(_Object, frozen=True):
    """An entry VM on the roster, with the addresses it listens on.

    Parameters
    ----------
    name
        Unique name, as in the platform's list of VMs.
    region, failure_domain
        Where it stands.
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
"""Any configured object."""

KINDS: dict[str, type[Object]] = {
    type_.__struct_config__.tag: type_  # type: ignore[misc]
    for type_ in (Deployment, Organisation, Model, Adapter, Upstream, Route, VM)
}
"""Types by the kind that their JSON names."""


class Identity(msgspec.Struct, frozen=True, order=True, forbid_unknown_fields=True):
    """The kind and name by which one object is told from all others.

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
    """Return the canonical JSON of an object: equal objects give equal bytes.

    The library's own option to omit defaults compares by identity, so that a decoded object and
    an equal one made in Python would differ; fields are compared by value here.

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
    """Return the digest under which a key's secret is configured.

    Examples
    --------
    >>> key_digest("demo-key-kigoma")[:16]
    '8b861513785b0461'
    """
    return hashlib.sha256(secret.encode()).hexdigest()
