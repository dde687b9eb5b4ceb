"""The users' two workloads: long shared documents, nested levels, few very hot."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import random
from collections.abc import Iterator

from hollyring.core import prompt_blocks

MODEL = "parish"
VERSION = "v1"


@dataclasses.dataclass(frozen=True, slots=True)
class Workload:
    """Shape of one user's traffic.

    Parameters
    ----------
    name
        The user's name.
    organisation_shares
        Part of the requests that each organisation sends.
    documents
        Documents of each organisation.
    document_pieces
        Shortest and longest document.
    subjects
        Parishes or shops; each adds a second level of `subject_tokens` to the prompt.
    subject_tokens, question_tokens
        Shortest and longest.
    answer_tokens
        Shortest and longest answer.
    zipf
        Exponent of the documents' popularity.
    """

    name: str
    organisation_shares: tuple[float, ...] = (0.35, 0.25, 0.2, 0.15, 0.05)
    documents: int = 12
    document_blocks: tuple[int, int] = (6, 30)
    subjects: int = 25
    subject_tokens: tuple[int, int] = (600, 2200)
    question_tokens: tuple[int, int] = (40, 400)
    answer_tokens: tuple[int, int] = (8, 40)
    zipf_exponent: float = 1.1


BOHARI = Workload("bohari")
VERRERIE = Workload(
    "verrerie", documents=24, document_blocks=(10, 24), subjects=40, zipf_exponent=0.9
)
HOT = Workload("hot", organisation_shares=(0.8, 0.1, 0.1), zipf_exponent=2.5)
WORKLOADS = {workload.name: workload for workload in (BOHARI, VERRERIE, HOT)}


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a workload."""

    at: float
    organisation: str
    prompt: bytes
    answer_tokens: int
    shifted: bool


class PromptSampler:
    """Draws prompts of a workload; the same seed draws the same ones.

    Parameters
    ----------
    workload
        Its shape.
    seed
        Fixes documents, subjects and draws.
    """

    def __init__(self, workload: Workload, seed: int) -> None:
        self._workload = workload
        self._rng = random.Random(seed)
        weights = [1.0 / rank**workload.zipf_exponent for rank in range(1, workload.documents + 1)]
        self._cumulative_weights = list(itertools.accumulate(weights))
        organisations = len(workload.organisation_shares)
        self._documents = [
            [
                self._random_text(*_token_bounds(workload.document_blocks))
                for _ in range(workload.documents)
            ]
            for _ in range(organisations)
        ]
        self._subjects = [
            self._random_text(*workload.subject_tokens) for _ in range(workload.subjects)
        ]

    def sample(self, at: float, shifted: bool) -> Arrival:
        """Return a request; after the hot shift other documents are the popular ones."""
        workload = self._workload
        organisation = self._rng.choices(
            range(len(workload.organisation_shares)), workload.organisation_shares
        )[0]
        rank = bisect.bisect(
            self._cumulative_weights, self._rng.random() * self._cumulative_weights[-1]
        )
        document = (rank + shifted * workload.documents // 2) % workload.documents
        question = self._random_text(*workload.question_tokens)
        parts = (
            self._documents[organisation][document],
            self._rng.choice(self._subjects),
            question,
        )
        return Arrival(
            at,
            f"{workload.name}-{organisation + 1}",
            b"".join(parts),
            self._rng.randint(*workload.answer_tokens),
            shifted,
        )

    def _random_text(self, low: int, high: int) -> bytes:
        tokens = self._rng.randint(low, high)
        word = b"%07x " % self._rng.getrandbits(28)
        return (word * (tokens // 2 + 1))[: tokens * prompt_blocks.TOKEN_BYTES]


def arrivals(workload: Workload, rate: float, seconds: float, seed: int) -> Iterator[Arrival]:
    """Yield Poisson arrivals at `rate` requests a second; the hot set shifts half way."""
    sampler = PromptSampler(workload, seed)
    rng = random.Random(seed + 1)
    at = rng.expovariate(rate)
    while at < seconds:
        yield sampler.sample(at, at >= seconds / 2)
        at += rng.expovariate(rate)


def _token_bounds(blocks: tuple[int, int]) -> tuple[int, int]:
    low, high = blocks
    return low * prompt_blocks.BLOCK_TOKENS, high * prompt_blocks.BLOCK_TOKENS
