"""``hollyring standin``: stand-ins for external systems, for demonstrations and tests."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import anyio
import click

# Each command imports its stand-in when it is run, so that a process starts fast.


def _address_options(function: Callable[..., Any]) -> Callable[..., Any]:
    options = [
        click.option("--host", default="127.0.0.1", show_default=True, help="Address to bind."),
        click.option("--port", type=int, required=True, help="Port of the service."),
        click.option("--control-port", type=int, required=True, help="Port for injecting faults."),
    ]
    for option in reversed(options):
        function = option(function)
    return function


def _serve(app: Any, host: str, port: int, control_port: int) -> None:
    from hollyring.standins import asgi

    anyio.run(asgi.serve_until_signal, app, host, port, control_port)


@click.group()
def standin() -> None:
    """Serve a stand-in for an external system on loopback.

    Faults are injected through the control port, e.g.
    curl -d '{"kind": "slow", "value": 5}' localhost:9001/faults
    """


@standin.command()
@_address_options
@click.option("--name", default="engine", show_default=True)
@click.option("--model", "models", multiple=True, default=["parish=v1"], help="MODEL=VERSION.")
@click.option("--role", default="both", show_default=True)
@click.option(
    "--speed", default=1.0, show_default=True, help="Factor by which every duration is divided."
)
@click.option("--prefill", default=8000.0, show_default=True, help="Prompt tokens per second.")
@click.option("--decode", default=0.02, show_default=True, help="Seconds per step.")
@click.option("--max-running", default=32, show_default=True)
@click.option("--cache-blocks", default=2000, show_default=True)
@click.option("--cache-idle", default=30.0, show_default=True, help="Seconds until eviction.")
@click.option("--event-lag", default=0.2, show_default=True, help="Seconds.")
@click.option("--load-lag", default=0.5, show_default=True, help="Seconds.")
@click.option("--checks-fencing/--ignores-fencing", default=True, show_default=True)
@click.option("--weights-seconds", default=2.0, show_default=True)
@click.option("--weight-store", default="", help="URL of the cache-store stand-in.")
def engine(host: str, port: int, control_port: int, **options: Any) -> None:
    """Serve an inference server.

    Example: hollyring standin engine --port 9000 --control-port 9001 --speed 10
    """
    from hollyring.standins import batching
    from hollyring.standins import engine as engines

    batch = batching.BatchSettings(
        options["prefill"], options["decode"], options["max_running"], speed=options["speed"]
    )
    settings = engines.Settings(
        name=options["name"],
        models=dict(model.split("=", 1) for model in options["models"]),
        role=options["role"],
        batch=batch,
        cache_blocks=options["cache_blocks"],
        cache_idle_seconds=options["cache_idle"],
        event_lag_seconds=options["event_lag"],
        load_lag_seconds=options["load_lag"],
        checks_fencing=options["checks_fencing"],
        weights_seconds=options["weights_seconds"],
        weight_store=options["weight_store"],
    )
    _serve(engines.Engine(settings), host, port, control_port)


@standin.command()
@_address_options
@click.option("--name", default="service", show_default=True)
@click.option("--ledger", default="", help="File that keeps the executions across restarts.")
@click.option("--delay", default=0.0, show_default=True, help="Seconds before each execution.")
def service(host: str, port: int, control_port: int, name: str, delay: float, ledger: str) -> None:
    """Serve a service that counts executions.

    Example: hollyring standin service --port 9010 --control-port 9011 --name orders
    """
    from hollyring.standins import service as services

    _serve(services.Service(name, delay, ledger), host, port, control_port)


@standin.command()
@_address_options
@click.option("--reads", default=2000.0, show_default=True, help="Reads per second.")
@click.option("--writes", default=400.0, show_default=True, help="Writes per second.")
@click.option(
    "--vms-lag", default=2.0, show_default=True, help="Lag of the list of VMs, in seconds."
)
def platform(
    host: str, port: int, control_port: int, reads: float, writes: float, vms_lag: float
) -> None:
    """Serve the platform's key-value service and its list of VMs.

    Example: hollyring standin platform --port 9020 --control-port 9021
    """
    from hollyring.standins import platform as platforms

    _serve(platforms.Platform(reads, writes, vms_lag), host, port, control_port)


@standin.command("cache-store")
@_address_options
@click.option("--capacity", default=100_000, show_default=True, help="Blocks.")
@click.option("--weights-seconds", default=2.0, show_default=True)
@click.option("--weights-concurrency", default=2, show_default=True)
@click.option("--speed", default=1.0, show_default=True)
def cache_store(
    host: str,
    port: int,
    control_port: int,
    capacity: int,
    weights_seconds: float,
    weights_concurrency: int,
    speed: float,
) -> None:
    """Serve the KV cache store and the weight store.

    Example: hollyring standin cache-store --port 9030 --control-port 9031
    """
    from hollyring.standins import cache_store as stores

    app = stores.CacheStore(capacity, weights_seconds, weights_concurrency, speed)
    _serve(app, host, port, control_port)
