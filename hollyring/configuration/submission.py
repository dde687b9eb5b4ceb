"""Planning and submitting changes of the configuration."""

from __future__ import annotations

import dataclasses
import typing

from hollyring.configuration import documents, errors, objects, revisions, state, store

MAX_FAILED_CALLS = 20
"""Number of calls without a usable answer after which the outcome is `Unknown`."""

RETRY_SECONDS = 0.5
"""Delay after a call without a usable answer."""

MAX_PLAN_BYTES = 700_000
"""Maximum size of the objects put by one revision; leaves space for names of deleted objects."""

# Each kind follows the kinds that it refers to, so that references hold after each partial plan.
_KIND_ORDER = ["deployment", "model", "adapter", "upstream", "vm", "route", "organisation"]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Difference between a configuration and a declaration.

    Parameters
    ----------
    base
        Configuration to change.
    put, delete
        Objects to add or replace, and identities of those to delete.
    complete
        False if the difference is too large for one revision and this is its first part.
    """

    base: state.Configuration
    put: tuple[objects.Object, ...]
    delete: tuple[objects.Identity, ...]
    complete: bool = True

    @property
    def is_empty(self) -> bool:
        """Whether the plan changes nothing."""
        return not self.put and not self.delete

    @property
    def added(self) -> list[objects.Identity]:
        """Identities of the objects that the plan adds."""
        identities = [objects.identity(item) for item in self.put]
        return [identity for identity in identities if self.base.get(identity) is None]

    @property
    def replaced(self) -> list[objects.Identity]:
        """Identities of the objects that the plan replaces."""
        identities = [objects.identity(item) for item in self.put]
        return [identity for identity in identities if self.base.get(identity) is not None]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change was accepted as `revision`."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """The submission was rejected without effect, because another one was accepted first.

    Parameters
    ----------
    accepted
        Revision that was accepted instead.
    """

    accepted: revisions.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The store did not report the outcome; `revision` may contain the change now or later."""

    revision: int


Outcome = Accepted | Rejected | Unknown
"""Any outcome of a submission."""


def plan(base: state.Configuration, declared: documents.Document) -> Plan:
    """Return the changes that turn `base` into the declared configuration.

    Raises
    ------
    ConfigurationError
        If `base` belongs to another deployment.

    Examples
    --------
    >>> base = state.Configuration().with_changes(1, "", [objects.Model("a", "1")], [])
    >>> found = plan(base, documents.Document([objects.Model("b", "1")]))
    >>> [str(name) for name in found.added], [str(name) for name in found.delete]
    (['model/b'], ['model/a'])
    """
    declared_objects = {objects.identity(item): item for item in declared.objects}
    names = [item.name for item in declared.objects if isinstance(item, objects.Deployment)]
    if base.deployment is not None and base.deployment.name not in names:
        raise errors.ConfigurationError(
            f"deployment: {', '.join(names)}: allowed: {base.deployment.name}, in force here"
        )
    ordered = sorted(
        declared_objects, key=lambda identity: (_KIND_ORDER.index(identity.kind), identity)
    )
    put: list[objects.Object] = []
    size = 0
    for identity in ordered:
        if base.get(identity) == declared_objects[identity]:
            continue
        size += len(objects.encode(declared_objects[identity])) + 1
        if put and size > MAX_PLAN_BYTES:
            return Plan(base, tuple(put), (), complete=False)
        put.append(declared_objects[identity])
    present = [objects.identity(item) for item in base.items()]
    return Plan(
        base,
        tuple(put),
        tuple(identity for identity in present if identity not in declared_objects),
    )


class Submission(store.CallSequence):
    """State machine that submits a plan, one store call at a time, until it has an outcome.

    Parameters
    ----------
    change
        Plan to submit; the new revision is the successor of its base.
    identity
        Unique identity of this submission.
    author, at
        Author and time of the submission, for information only.

    Notes
    -----
    A write without an answer may have taken effect or may still take effect. The submission
    therefore reads the key and compares the identity in its value. While the key is absent, it
    retries the same write, which is idempotent because the key is created only if absent.
    """

    __slots__ = ("_key", "_value", "_identity", "_revision", "_outcome")

    def __init__(self, change: Plan, identity: str, author: str = "", at: str = "") -> None:
        self._revision = change.base.revision + 1
        self._key = revisions.key(self._revision)
        self._identity = identity
        self._value = revisions.encode_next(
            change.base, identity, change.put, change.delete, author, at
        )
        self._outcome: Outcome | None = None
        super().__init__()

    @property
    def outcome(self) -> Outcome | None:
        """Outcome of the submission, or None while calls are left."""
        return self._outcome

    @property
    def value(self) -> bytes:
        """Stored value of the new revision if the submission is accepted."""
        return self._value

    def _run(self) -> typing.Generator[store.Call, store.Answer, None]:
        failures = 0
        call: store.Call = store.Write(self._key, self._value)
        while failures < MAX_FAILED_CALLS:
            answer = yield call
            match answer:
                case store.Written():
                    self._outcome = Accepted(self._revision)
                    return
                case store.Found(value):
                    self._outcome = self._decide(value)
                    return
                case store.Absent():
                    call = store.Write(self._key, self._value)
                case store.Conflict():
                    call = store.Read(self._key)
                case _:
                    failures += 1
                    call = store.Read(self._key)
                    yield store.Pause(RETRY_SECONDS)
        self._outcome = Unknown(self._revision)

    def _decide(self, value: bytes) -> Outcome:
        found = revisions.decode(value)
        if found.submission == self._identity:
            return Accepted(self._revision)
        return Rejected(found)
