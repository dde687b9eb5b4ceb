"""Two other ways to keep limits, built to be measured against escrow."""

from __future__ import annotations

import dataclasses

from hollyring.core import identities, invariants
from hollyring.experiments import limits_figures, limits_world
from hollyring.limits import borrower, holders, layout, lender, messages, settings, share
from hollyring.limits import limiter as limiters

TTL_SECONDS = 3.0
RENEW_SECONDS = 1.0
MARGIN = 0.99


class FixedSplit(limiters.Limiter):
    """Every VM has 1/N of each limit and asks nobody."""

    def _estimates(
        self, state: borrower.Borrower, limit: holders.Limit, mine: int, now: float
    ) -> list[tuple[str, int]]:
        return []


@dataclasses.dataclass(slots=True)
class Lease:
    """The store's record of one organisation's home."""

    holder: identities.Incarnation
    until: float


class Leases:
    """Stand-in for the store's leases; its calls fail while the store is out."""

    def __init__(self) -> None:
        self.world: limits_world.World | None = None
        self._leases: dict[str, Lease] = {}

    def acquire(self, organisation: str, vm: identities.Incarnation) -> Lease | None:
        """Renew or take the lease if it is free; return the lease, or None in an outage."""
        if self.world is None or not self.world.store_up:
            return None
        found = self._leases.get(organisation)
        if found is None or found.until <= self.world.now or found.holder == vm:
            found = Lease(vm, self.world.now + TTL_SECONDS)
            self._leases[organisation] = found
        return found


class LeaseLayout(layout.Layout):
    """The home of each organisation by the store's leases, as this VM knows them."""

    def __init__(self, vm: identities.Incarnation, leases: Leases) -> None:
        super().__init__(vm)
        self.leases = leases
        self.until: dict[str, float] = {}
        self.since: dict[str, float] = {}
        self.home: dict[str, str] = {}
        self.organisations: set[str] = set()
        self.next_renewal = 0.0

    def chosen(self, organisation: str) -> tuple[holders.Slot, ...]:
        home = self.home.get(organisation)
        return (holders.Slot(home, home),) if home else ()

    def portion(self, limit: holders.Limit) -> holders.Portion:
        self.organisations.add(limit.organisation)
        if limit.organisation not in self.until:
            return holders.NOTHING
        return holders.Portion(limit.rate, limit.burst)

    def new_share(self, limit: holders.Limit, learned: float) -> share.Share:
        start = max(self.since[limit.organisation] + settings.HOLD_SECONDS, learned)
        return share.Share(self.portion(limit), start)

    def poll(self, now: float) -> list[messages.Outgoing]:
        for organisation, until in list(self.until.items()):
            if now >= until:
                del self.until[organisation]
        if now < self.next_renewal:
            return []
        self.next_renewal = now + RENEW_SECONDS
        for organisation in self.organisations:
            lease = self.leases.acquire(organisation, self._vm)
            if lease is None:
                continue
            self.home[organisation] = lease.holder.name
            if lease.holder == self._vm:
                if organisation not in self.until:
                    self.since[organisation] = now
                self.until[organisation] = now + TTL_SECONDS * MARGIN
        return []


class HomeLender(lender.Lender):
    """Holds a share only while the lease lasts."""

    def lend_own(self, organisation: str, ask: int, tokens: int, now: float) -> int:
        """See the base class."""
        self._drop_lapsed(organisation, now)
        return super().lend_own(organisation, ask, tokens, now)

    def left(self, organisation: str, now: float) -> int:
        """See the base class."""
        self._drop_lapsed(organisation, now)
        return super().left(organisation, now)

    def lend(self, sender: str, ask: messages.Ask, now: float) -> messages.Grant:
        """See the base class."""
        self._drop_lapsed(ask.organisation, now)
        return super().lend(sender, ask, now)

    def _drop_lapsed(self, organisation: str, now: float) -> None:
        until = self._layout.until  # type: ignore[attr-defined]
        if now >= until.get(organisation, 0.0):
            until.pop(organisation, None)
            self._shares.pop(organisation, None)


class HomeLease(limiters.Limiter):
    """One home VM per organisation under a lease; the others ask it."""

    def __init__(
        self, vm: identities.Incarnation, counted: invariants.Invariants, leases: Leases
    ) -> None:
        super().__init__(vm, counted)
        self._home = LeaseLayout(vm, leases)
        self._layout = self._home
        self._lender = HomeLender(vm, counted, self._home)

    def configure(self, update: limiters.Update, now: float) -> None:
        super().configure(update, now)
        self._home.organisations |= {limit.organisation for limit in update.limits}


def lease_scenario(row: limits_figures.Row, seed: int) -> limits_figures.Scenario:
    """Return a scenario in which each organisation has one home under a lease."""
    leases = Leases()
    scenario = limits_figures.Scenario(lambda vm, inv: HomeLease(vm, inv, leases), row, seed)
    leases.world = scenario.world
    return scenario


def compare(load: float) -> None:
    """Print the rows of both ways beside escrow's, as run for the design note."""
    for fault in limits_figures.FAULTS:
        for spread in limits_figures.SPREADS:
            for way in ("fixed", "lease", "escrow"):
                total = limits_figures.Row(way, fault, spread, load)
                for seed in range(3):
                    row = limits_figures.Row(way, fault, spread, load)
                    match way:
                        case "lease":
                            total.add(lease_scenario(row, seed).run())
                        case "fixed":
                            total.add(limits_figures.Scenario(FixedSplit, row, seed).run())
                        case _:
                            total.add(limits_figures.Scenario(limiters.Limiter, row, seed).run())
                print(dataclasses.asdict(total))
