"""Immutable configuration at one revision, with the lookups that requests need."""

from __future__ import annotations

import dataclasses
import hashlib
import types
import typing
from collections.abc import Iterable, Mapping

import msgspec

from hollyring.configuration import objects

_CONTENT_MODULUS = 1 << 256
_T = typing.TypeVar("_T")

Table = Mapping[str, objects.Object]


def _object_hash(item: objects.Object) -> int:
    return int.from_bytes(hashlib.sha256(objects.encode(item)).digest(), "big")


def _empty_mapping() -> Mapping[str, typing.Any]:
    return types.MappingProxyType({})


MAX_RETIRED_VMS = 256
"""Maximum number of names of removed VMs that are kept: about two days of VM replacements."""


class Roster(msgspec.Struct, frozen=True, forbid_unknown_fields=True, gc=False):
    """Revisions at which the configured VMs changed, and the VMs that were removed.

    Parameters
    ----------
    revision
        Revision of the last change of the VMs; 0 before the first.
    first
        Revision that added the first VMs; 0 before it.
    retired
        Names of removed VMs, which may still be running; the latest is last.
    """

    revision: int = 0
    first: int = 0
    retired: tuple[str, ...] = ()

    def with_changes(self, revision: int, put: Iterable[str], delete: Iterable[str]) -> Roster:
        """Return the roster after `revision` put the VMs `put` and deleted the VMs `delete`.

        Examples
        --------
        >>> Roster().with_changes(1, ["vm-1", "vm-2"], []).with_changes(4, [], ["vm-1"])
        Roster(revision=4, first=1, retired=('vm-1',))
        """
        listed, removed = set(put), list(delete)
        if not listed and not removed:
            return self
        kept = [name for name in self.retired if name not in listed and name not in removed]
        retired = (*kept, *(name for name in removed if name not in listed))
        return Roster(revision, self.first or revision, retired[-MAX_RETIRED_VMS:])


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """All configured objects at one revision.

    Parameters
    ----------
    revision
        Number of the revision; 0 for the empty configuration before the first revision.
    digest
        SHA-256 of the revision's stored value, which contains its predecessor's digest.
    content
        Content hash: sum of the objects' SHA-256 digests modulo 2**256. It is equal for equal
        sets of objects, and a change updates it without reading the other objects.
    roster
        Revisions at which the VMs changed, and the VMs that were removed.

    Examples
    --------
    >>> key = objects.Key("till-1", objects.key_digest("demo-key-kigoma"))
    >>> organisation = objects.Organisation("kigoma", rate=50.0, burst=4000, keys=(key,))
    >>> configuration = Configuration().with_changes(1, "", [organisation], [])
    >>> configuration.organisation_for_key(objects.key_digest("demo-key-kigoma")).name
    'kigoma'
    >>> configuration.organisation_for_key(objects.key_digest("another")) is None
    True
    """

    revision: int = 0
    digest: str = ""
    content: int = 0
    roster: Roster = Roster()
    _tables: Mapping[str, Table] = dataclasses.field(default_factory=_empty_mapping, repr=False)
    _keys: Mapping[str, str] = dataclasses.field(default_factory=_empty_mapping, repr=False)

    @property
    def organisations(self) -> Mapping[str, objects.Organisation]:
        """Organisations by name."""
        return self._table(objects.Organisation)

    @property
    def models(self) -> Mapping[str, objects.Model]:
        """Models by name."""
        return self._table(objects.Model)

    @property
    def adapters(self) -> Mapping[str, objects.Adapter]:
        """Adapters by name."""
        return self._table(objects.Adapter)

    @property
    def upstreams(self) -> Mapping[str, objects.Upstream]:
        """Upstreams by name."""
        return self._table(objects.Upstream)

    @property
    def routes(self) -> Mapping[str, objects.Route]:
        """Routes by path prefix."""
        return self._table(objects.Route)

    @property
    def vms(self) -> Mapping[str, objects.VM]:
        """VMs by name."""
        return self._table(objects.VM)

    @property
    def deployment(self) -> objects.Deployment | None:
        """The deployment object, or None if there is none."""
        return next(iter(self._table(objects.Deployment).values()), None)

    def get(self, identity: objects.Identity) -> objects.Object | None:
        """Return the object with this identity, or None if there is none."""
        return self._tables.get(identity.kind, {}).get(identity.name)

    def items(self) -> Iterable[objects.Object]:
        """Yield all objects, ordered by kind and name."""
        for kind in sorted(self._tables):
            table = self._tables[kind]
            yield from (table[name] for name in sorted(table))

    def organisation_for_key(self, key_digest: str) -> objects.Organisation | None:
        """Return the organisation that has the key with this digest, or None."""
        name = self._keys.get(key_digest)
        return None if name is None else self.organisations[name]

    def key_with_digest(self, key_digest: str) -> objects.Key | None:
        """Return the key with this digest, or None if no organisation has it."""
        organisation = self.organisation_for_key(key_digest)
        if organisation is None:
            return None
        return next(key for key in organisation.keys if key.digest == key_digest)

    def route_for(self, path: str) -> objects.Route | None:
        """Return the route with the longest prefix of whole segments of `path`, or None."""
        matching = [prefix for prefix in self.routes if _matches_prefix(prefix, path)]
        return self.routes[max(matching, key=len)] if matching else None

    def with_changes(
        self,
        revision: int,
        digest: str,
        put: Iterable[objects.Object],
        delete: Iterable[objects.Identity],
    ) -> Configuration:
        """Return a configuration with `delete` deleted and then `put` added or replaced.

        Only the tables of the changed kinds are copied; this configuration is not modified.
        """
        tables: dict[str, dict[str, objects.Object]] = {}
        keys: dict[str, str] | None = None
        content = self.content
        put, delete = list(put), list(delete)
        for identity, item in _iterate_changes(put, delete):
            table = tables.get(identity.kind)
            if table is None:
                table = tables[identity.kind] = dict(self._tables.get(identity.kind, {}))
            old = table.pop(identity.name, None)
            content += (_object_hash(item) if item else 0) - (_object_hash(old) if old else 0)
            if item is not None:
                table[identity.name] = item
            if identity.kind == "organisation":
                keys = dict(self._keys) if keys is None else keys
                _update_keys(keys, old, item)
        return Configuration(
            revision,
            digest,
            content % _CONTENT_MODULUS,
            self.roster.with_changes(
                revision,
                [item.name for item in put if isinstance(item, objects.VM)],
                [identity.name for identity in delete if identity.kind == "vm"],
            ),
            {**self._tables, **tables},
            self._keys if keys is None else keys,
        )

    def _table(self, type_: type[_T]) -> Mapping[str, _T]:
        kind = type_.__struct_config__.tag  # type: ignore[attr-defined]
        return typing.cast(Mapping[str, _T], self._tables.get(kind, _empty_mapping()))


def _matches_prefix(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def _iterate_changes(
    put: Iterable[objects.Object], delete: Iterable[objects.Identity]
) -> Iterable[tuple[objects.Identity, objects.Object | None]]:
    yield from ((identity, None) for identity in delete)
    yield from ((objects.identity(item), item) for item in put)


def _update_keys(
    keys: dict[str, str], old: objects.Object | None, new: objects.Object | None
) -> None:
    # One change may move a key between two organisations, which may be put in either order.
    if isinstance(old, objects.Organisation):
        for key in old.keys:
            if keys.get(key.digest) == old.name:
                del keys[key.digest]
    if isinstance(new, objects.Organisation):
        keys.update((key.digest, new.name) for key in new.keys)
