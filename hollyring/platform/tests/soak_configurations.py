"""Series of configurations of the soak, of which each changes one or two things."""

import dataclasses

from hollyring.node import clock

KEY = "k"
HOST = "h.example"
TIMEOUTS_MS = (6000, 8000, 9000)
REPLY_TIMEOUTS_MS = (8000, 10_000)
IDLE_TIMEOUTS_MS = (2000, 4000, 6000)
"""Values between which the configuration changes."""

MANY_ROUTES = 350
MAX_KEYS = 4
"""Most keys that are there beside `KEY`; the oldest is taken away first."""

APPLY_SECONDS = 2.0
"""Time after which a configuration is in force at all VMs."""

ROUTES = {
    "order": {"kind": "unsafe"},
    "look": {"kind": "safe", "max_attempts": 2},
    "stream": {"kind": "streaming", "service": "engines", "max_attempts": 2},
    "resumable": {
        "kind": "streaming",
        "resumable": True,
        "service": "engines",
        "max_attempts": 2,
    },
    "reply": {"kind": "streaming", "service": "engines"},
    "long-order": {"kind": "unsafe", "service": "plain"},
    "long-look": {"kind": "safe", "service": "plain", "max_attempts": 2},
    "long-stream": {"kind": "streaming", "service": "engines"},
    "long-resumable": {
        "kind": "streaming",
        "resumable": True,
        "service": "engines",
        "max_attempts": 2,
    },
}
STREAMS = ("stream", "resumable", "reply", "long-stream", "long-resumable")
ENGINE = {
    "slots": 16,
    "kv_capacity": 100_000,
    "kv_token_bytes": 1,
    "link_mbps": 1000,
    "models": [{"name": "m"}],
}


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """What changes between configurations.

    Parameters
    ----------
    order_service
        Service of the plain requests that may run once.
    look_weight
        Share of the repeatable plain requests that go to service ``other``.
    many_routes
        Number of routes that nobody uses.
    keys
        Keys beside `KEY`.
    """

    timeout_ms: int = 8000
    reply_timeout_ms: int = 10_000
    idle_ms: int = 4000
    order_service: str = "plain"
    look_weight: float = 0.5
    many_routes: int = 0
    keys: tuple[str, ...] = ()

    def timeout_seconds(self, route):
        return (self.reply_timeout_ms if route == "reply" else self.timeout_ms) / 1000


class Configurations:
    """Configurations in the order in which the operator writes them.

    Parameters
    ----------
    rng
        Selects the changes.
    """

    def __init__(self, rng):
        self.version = 1
        self.settings = Settings()
        self._rng = rng
        self._written = [(clock.now(), self.settings)]

    def change(self):
        """Change one or two things and return the document."""
        self.version += self._rng.randint(1, 3)
        for change in self._rng.sample(self._changes, self._rng.randint(1, 2)):
            self.settings = dataclasses.replace(self.settings, **change())
        return self.document()

    def record_written(self):
        """Record that the store has the newest document."""
        self._written.append((clock.now(), self.settings))

    def in_force(self, at):
        """Return the settings of all configurations that may be in force at a time."""
        earlier = [settings for put, settings in self._written if put <= at - APPLY_SECONDS]
        later = [settings for put, settings in self._written if at - APPLY_SECONDS < put <= at]
        return earlier[-1:] + later

    def document(self):
        """Return the configuration document."""
        settings = self.settings
        routes = [self._route(name, f"/{name}/") for name in ROUTES]
        routes += [self._route("order", f"/more{n}/", n) for n in range(settings.many_routes)]
        services = [{"name": name, "max_connections": 200} for name in ("plain", "other")]
        return {
            "version": self.version,
            "routes": routes,
            "services": [*services, {"name": "engines", "max_connections": 200, "engine": ENGINE}],
            "tenants": [
                {"name": "t", "api_keys": [KEY]},
                {"name": "u", "api_keys": list(settings.keys)},
            ],
            "limits": {
                "max_header_bytes": 16_384,
                "max_body_bytes": 65_536,
                "header_timeout_ms": 2000,
                "idle_timeout_ms": settings.idle_ms,
            },
        }

    def _route(self, name, prefix, number=None):
        settings = self.settings
        route = {"name": name if number is None else f"{name}-{number}", "prefix": prefix}
        route |= {"host": HOST, "target_latency_ms": 500, "max_attempts": 1}
        route |= {"timeout_ms": int(settings.timeout_seconds(name) * 1000)}
        if name == "order":
            route["service"] = settings.order_service
        if name == "look":
            shares = {"other": settings.look_weight, "plain": 1 - settings.look_weight}
            route["traffic_split"] = [{"service": s, "weight": w} for s, w in shares.items()]
        return route | ROUTES[name]

    @property
    def _changes(self):
        choice = self._rng.choice
        return (
            lambda: {"timeout_ms": choice(TIMEOUTS_MS)},
            lambda: {"reply_timeout_ms": choice(REPLY_TIMEOUTS_MS)},
            lambda: {"idle_ms": choice(IDLE_TIMEOUTS_MS)},
            lambda: {"order_service": choice(("plain", "other"))},
            lambda: {"look_weight": choice((0.1, 0.5, 0.9))},
            lambda: {"many_routes": choice((0, 1, MANY_ROUTES))},
            lambda: {"keys": (*self.settings.keys, f"u{self.version}")[-MAX_KEYS:]},
            lambda: {"keys": self.settings.keys[1:]},
        )
