"""Submitting a change: what it changes, and whether it was accepted."""

from __future__ import annotations

import dataclasses
import typing

from hollyring.configuration import documents, errors, objects, revisions, state, store

MAX_FAILED_CALLS = 20
"""Calls without a usable answer after which the outcome is given as unknown."""

RETRY_SECONDS = 0.5
"""Pause after a call without a usable answer."""

MAX_PLAN_BYTES = 700_000
"""Size of the objects put by one revision; leaves room for names of deleted objects."""

# Objects stand behind those that they refer to, so that each part of a plan is consistent.
_KIND_ORDER = ["deployment", "model", "adapter", "upstream", "vm", "route", "organisation"]


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """The objects by which a declaration differs from a configuration.

    `whole` is false where the difference is too large for one revision and this is its first part.
    """

    base: state.Configuration
    put: tuple[objects.Object, ...]
    delete: tuple[objects.Identity, ...]
    complete: bool = True

    @property
    def is_empty(self) -> bool:
        """Whether there is nothing to change."""
        return not self.put and not self.delete

    @property
    def added(self) -> list[objects.Identity]:
        """Identities of objects that are new."""
        identities = [objects.identity(item) for item in self.put]
        return [name for name in identities if self.base.get(name) is None]

    @property
    def replaced(self) -> list[objects.Identity]:
        """Identities of objects that change."""
        identities = [objects.identity(item) for item in self.put]
        return [name for name in identities if self.base.get(name) is not None]


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The change is `revision`."""

    revision: int


@dataclasses.dataclass(frozen=True, slots=True)
class Rejected:
    """Another submission was accepted first; this one changed nothing.

    Parameters
    ----------
    winner
        The revision that was accepted instead.
    """

    accepted: revisions.Revision


@dataclasses.dataclass(frozen=True, slots=True)
class Unknown:
    """The store did not tell; the change may be `revision`, now or later."""

    revision: int


Outcome = Accepted | Rejected | Unknown
"""What became of a submission."""


def plan(base: state.Configuration, declared: documents.Document) -> Plan:
    """Return what has to change for `declared` to be in force.

    Raises
    ------
    ConfigurationError
        If `base` is another deployment.

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
    ordered = sorted(declared_objects, key=lambda name: (_KIND_ORDER.index(name.kind), name))
    put: list[objects.Object] = []
    size = 0
    for name in ordered:
        if base.get(name) == declared_objects[name]:
            continue
        size += len(objects.encode(declared_objects[name])) + 1
        if put and size > MAX_PLAN_BYTES:
            return Plan(base, tuple(put), (), complete=False)
        put.append(declared_objects[name])
    present = [objects.identity(item) for item in base.items()]
    return Plan(base, tuple(put), tuple(name for name in present if name not in declared_objects))


class Submission:
    """Submits one plan, one call at a time, until its outcome is known or given up.

    Parameters
    ----------
    change
        What to change; its base is the revision that this competes to follow.
    identity
        Drawn by the submitter, never used twice.
    author, at
        Who submits it and when, for people only.

    Notes
    -----
    A write without an answer may have taken effect, or may still do so. The submission reads the
    key back and decides by the identity in its value; while the key is absent it writes the same
    bytes again, which can take effect only once.
    """

    __slots__ = ("_key", "_value", "_identity", "_revision", "_outcome", "_steps", "_call")

    def __init__(self, change: Plan, identity: str, author: str = "", at: str = "") -> None:
        self._revision = change.base.revision + 1
        self._key = revisions.key(self._revision)
        self._identity = identity
        self._value = revisions.encode_next(
            change.base, identity, change.put, change.delete, author, at
        )
        self._outcome: Outcome | None = None
        self._steps = self._run()
        self._call: store.Call | None = next(self._steps)

    @property
    def call(self) -> store.Call | None:
        """The call to make next, None once the outcome stands."""
        return self._call

    @property
    def outcome(self) -> Outcome | None:
        """What became of the submission, once known or given up."""
        return self._outcome

    @property
    def value(self) -> bytes:
        """The value that the revision has if this is accepted."""
        return self._value

    def on_answer(self, answer: store.Answer) -> None:
        """Take the answer to `call`."""
        try:
            self._call = self._steps.send(answer)
        except StopIteration:
            self._call = None

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
