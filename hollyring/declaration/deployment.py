"""Declaration of a deployment, object by object."""

from __future__ import annotations

from collections.abc import Iterable

from hollyring.configuration import documents, objects
from hollyring.declaration import errors


class Deployment:
    """Builder of a deployment's configuration, which `print` writes out.

    Parameters
    ----------
    name
        Name of the deployment.
    concurrent_loads
        Maximum number of inference servers that load weights at the same time.

    Examples
    --------
    >>> bohari = Deployment("bohari", concurrent_loads=2)
    >>> bohari.organisation("kigoma", rate=400.0, burst=40_000)
    >>> bohari.key("kigoma", "till-1", secret="demo-key-kigoma")
    >>> bohari.model("parish-7b", version="3")
    >>> len(bohari.document.objects)
    3
    >>> "demo-key-kigoma" in bohari.json()
    False
    """

    __slots__ = ("_name", "_items")

    def __init__(self, name: str, concurrent_loads: int = 1) -> None:
        self._name = name
        self._items: dict[objects.Identity, objects.Object] = {}
        self._add(objects.Deployment(name, concurrent_loads))

    @property
    def document(self) -> documents.Document:
        """The declared objects, ordered by kind and name."""
        ordered = sorted(self._items.items(), key=lambda pair: pair[0])
        return documents.Document(objects=[item for _, item in ordered])

    def organisation(
        self,
        name: str,
        rate: float,
        burst: int,
        weight: float = 1.0,
        models: Iterable[str] = (),
    ) -> None:
        """Declare an organisation; with empty `models` it may use every model."""
        self._add(objects.Organisation(name, float(rate), burst, float(weight), (), tuple(models)))

    def key(self, organisation: str, identity: str, secret: str = "", digest: str = "") -> None:
        """Add a key to an organisation, by its secret or by the secret's digest.

        Only the digest is printed.

        Raises
        ------
        DeclarationError
            If the organisation is not declared yet, or if not exactly one of `secret` and `digest`
            is given.
        """
        owner = self._items.get(objects.Identity("organisation", organisation))
        if not isinstance(owner, objects.Organisation):
            raise errors.DeclarationError(
                f"key {identity}: organisation {organisation} is not declared yet"
            )
        if bool(secret) == bool(digest):
            raise errors.DeclarationError(
                f"key {identity}: exactly one of secret and digest is required"
            )
        key = objects.Key(identity, digest or objects.key_digest(secret))
        self._items[objects.identity(owner)] = objects.Organisation(
            owner.name, owner.rate, owner.burst, owner.weight, (*owner.keys, key), owner.models
        )

    def model(self, name: str, version: str) -> None:
        """Declare a model and the version of its weights."""
        self._add(objects.Model(name, version))

    def adapter(self, name: str, model: str, version: str) -> None:
        """Declare an adapter of a model."""
        self._add(objects.Adapter(name, model, version))

    def upstream(
        self,
        name: str,
        kind: objects.UpstreamKind,
        address: str,
        region: str,
        failure_domain: str,
        models: Iterable[str] = (),
        role: objects.EngineRole = "both",
        checks_fencing: bool = False,
        leaving: bool = False,
    ) -> None:
        """Declare an inference server, a KV cache store or a service."""
        self._add(
            objects.Upstream(
                name,
                kind,
                address,
                region,
                failure_domain,
                tuple(models),
                role,
                checks_fencing,
                leaving,
            )
        )

    def route(
        self,
        path_prefix: str,
        upstreams: Iterable[str],
        methods: Iterable[str] = ("GET",),
        idempotent: bool = False,
        open_to_all: bool = False,
    ) -> None:
        """Declare a path prefix under which calls are routed to upstreams of kind ``"service"``."""
        self._add(
            objects.Route(path_prefix, tuple(upstreams), tuple(methods), idempotent, open_to_all)
        )

    def vm(
        self,
        name: str,
        region: str,
        failure_domain: str,
        caller_address: str,
        peer_address: str,
        admin_address: str,
    ) -> None:
        """Declare a VM that runs the router."""
        self._add(
            objects.VM(name, region, failure_domain, caller_address, peer_address, admin_address)
        )

    def json(self) -> str:
        """Return the configuration as JSON, one object per line."""
        return documents.encode(self.document)

    def print(self) -> None:
        """Print the configuration as JSON on standard output."""
        print(self.json(), end="")

    def _add(self, item: objects.Object) -> None:
        identity = objects.identity(item)
        if identity in self._items:
            raise errors.DeclarationError(f"{identity} is declared twice")
        self._items[identity] = item


def deployment(name: str, concurrent_loads: int = 1) -> Deployment:
    """Create an empty deployment to declare objects in."""
    return Deployment(name, concurrent_loads)
