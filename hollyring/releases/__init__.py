"""Releases: moves of a service's requests to upstreams of another software version."""

from hollyring.core import lazy

__all__ = [  # noqa: F822
    "answer_times",
    "evidence",
    "exposure",
    "messages",
    "release",
    "tally",
]

__getattr__ = lazy.submodule_getattr(__name__, __all__)
