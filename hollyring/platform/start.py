"""Start of a VM with the platform's settings file."""

from __future__ import annotations

import pathlib
import sys

from hollyring.limits import byte_budget
from hollyring.node import adapter_server, adapter_settings, errors
from hollyring.platform import documents, ingress, settings, store, upstreams

EXIT_BAD_SETTINGS = 2


def run(path: pathlib.Path | None = None, check_only: bool = False) -> int:
    """Run a VM process and return its exit status.

    Parameters
    ----------
    path
        Path of the settings file; by default from `settings.ENVIRONMENT_VARIABLE`.
    check_only
        Whether to return after the settings have been checked.

    Returns
    -------
    int
        0, or 2 if the settings are invalid; the errors are printed to standard error.
    """
    path = path or settings.path_from_environment()
    if path is None:
        print(f"{settings.ENVIRONMENT_VARIABLE}: missing: allowed: a path", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    try:
        vm_settings = read_settings(path)
    except (errors.SettingsError, OSError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if check_only:
        print(f"{path}: fine")
        return 0
    serve(path, vm_settings)
    return 0


def read_settings(path: pathlib.Path) -> adapter_settings.AdapterSettings:
    """Return the settings in the file at `path`.

    Raises
    ------
    SettingsError
        If a field is missing or invalid; the message names it.
    """
    return settings.parse(path.read_text())


def serve(path: pathlib.Path, vm_settings: adapter_settings.AdapterSettings) -> None:
    """Run a VM process until it is stopped by a signal."""
    budget = byte_budget.ByteBudget(byte_budget.limit_for(vm_settings.memory_bytes))
    adapter = adapter_server.Adapter(
        store=store.MetadataStore(vm_settings.store_address, budget),
        store_codec=documents.DocumentCodec(),
        store_keys=documents.STORE_KEYS,
        upstream_codec=upstreams.HttpUpstreamCodec(),
        caller_codec=ingress,
        request_error=ingress.RequestError,
        reload_settings=lambda: read_settings(path),
    )
    adapter_server.serve(vm_settings, adapter, budget)
