"""Starts a VM under the platform's settings."""

from __future__ import annotations

import pathlib

from hollyring.node import entry_settings, entry_vm
from hollyring.platform import documents, ingress, settings, store, upstreams


def read(path: pathlib.Path) -> entry_settings.EntrySettings:
    """Return the settings in the file at `path`.

    Raises
    ------
    SettingsError
        Naming the field that is missing or wrong.
    """
    return settings.parse(path.read_text())


def serve(path: pathlib.Path, given: entry_settings.EntrySettings) -> None:
    """Run a VM process until it is told to stop."""
    adapter = entry_vm.Adapter(
        store=store.MetadataStore(given.store_address),
        documents=documents.StoredDocuments(),
        prefixes=documents.PREFIXES,
        codec=upstreams.ServerCodec(),
        surface=ingress,
        ask_error=ingress.AskError,
        reload=lambda: read(path),
    )
    entry_vm.serve(given, adapter)
