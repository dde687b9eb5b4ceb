"""VM process whose heartbeat task fails while a certain version of weights is wanted.

It runs instead of `hollyring.platform`, for tests of what an error that no code expects leaves.
"""

import sys

from hollyring.node import heartbeat_sender
from hollyring.platform import start

FAILING_VERSION = 4_242
make_heartbeat = heartbeat_sender.HeartbeatSender._heartbeat


def fail(sender, now):
    if any(each.version == FAILING_VERSION for each in sender._state.latest_wanted.values()):
        raise OverflowError("int too big to convert")
    return make_heartbeat(sender, now)


if __name__ == "__main__":
    heartbeat_sender.HeartbeatSender._heartbeat = fail
    sys.exit(start.run())
