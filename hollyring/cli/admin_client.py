"""Client of the admin ports of VMs."""

from __future__ import annotations

import random

import httpcore
import msgspec

from hollyring.cli import sync_client
from hollyring.configuration import state
from hollyring.node import http_errors

MAX_SAMPLED_VMS = 5
"""Maximum number of VMs that are asked for their revision before a change is submitted."""


class _Configuration(msgspec.Struct):
    revision: int


class _State(msgspec.Struct):
    configuration: _Configuration


def fetch_revision(address: str, admin_key: str) -> int | None:
    """Return the revision in force on the VM with admin port `address`, None if that fails."""
    headers = [("Authorization", f"Bearer {admin_key}")] if admin_key else []
    timeouts = dict.fromkeys(("connect", "read", "write", "pool"), sync_client.CALL_TIMEOUT_SECONDS)
    try:
        response = httpcore.request(
            "GET", f"http://{address}/state", headers=headers, extensions={"timeout": timeouts}
        )
        return msgspec.json.decode(response.content, type=_State).configuration.revision
    except (*http_errors.HTTP_ERRORS, msgspec.DecodeError):
        return None


def newer_revisions(configuration: state.Configuration, admin_key: str) -> dict[str, int]:
    """Ask up to `MAX_SAMPLED_VMS` VMs; return by name the revisions newer than `configuration`."""
    vms = sorted(configuration.vms.values(), key=lambda vm: vm.name)
    sampled = random.sample(vms, min(MAX_SAMPLED_VMS, len(vms)))
    revisions = {vm.name: fetch_revision(vm.admin_address, admin_key) or 0 for vm in sampled}
    return {
        name: revision for name, revision in revisions.items() if revision > configuration.revision
    }
