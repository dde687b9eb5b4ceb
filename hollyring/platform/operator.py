"""What the command line needs of the platform to check an operator's documents."""

from __future__ import annotations

import anyio

from hollyring.configuration import deployment_checks
from hollyring.node import interfaces
from hollyring.platform import decoding, documents, store


def decode_entries(value: bytes) -> deployment_checks.Entries:
    """Return the entries of a configuration.

    Raises
    ------
    ValueError
        If `value` is no configuration.
    """
    try:
        return documents.DocumentCodec().decode_entries(value)
    except decoding.UnreadableError as error:
        raise ValueError(str(error)) from error


def fetch_configuration(address: str) -> bytes:
    """Return the configuration that the store at ``"IP:PORT"`` holds.

    Raises
    ------
    OSError
        If the store does not answer, or holds none.
    """
    try:
        item = anyio.run(store.MetadataStore(address).get, documents.CONFIGURATION_KEY)
    except interfaces.StoreError as error:
        raise OSError(f"{address}: {error}") from error
    if item is None:
        raise OSError(f"{address}: holds no configuration")
    return item.value
