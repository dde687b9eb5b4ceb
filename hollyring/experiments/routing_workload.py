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
    document_pieces: tuple[int, int] = (6, 30)
    subjects: int = 25
    subject_tokens: tuple[int, int] = (600, 2200)
    question_tokens: tuple[int, int] = (40, 400)
    answer_tokens: tuple[int, int] = (8, 40)
    zipf: float = 1.1


BOHARI = Workload("bohari")
VERRERIE = Workload("verrerie", documents=24, document_pieces=(10, 24), subjects=40, zipf=0.9)
HOT = Workload("hot", organisation_shares=(0.8, 0.1, 0.1), zipf=2.5)
WORKLOADS = {workload.name: workload for workload in (BOHARI, VERRERIE, HOT)}


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request of a workload."""

    at: float
    organisation: str
    prompt: bytes
    answer_tokens: int
    shifted: bool


class Prompts:
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
        self._draw = random.Random(seed)
        weights = [1.0 / rank**workload.zipf for rank in range(1, workload.documents + 1)]
        self._ranks = list(itertools.accumulate(weights))
        organisations = len(workload.organisation_shares)
        self._documents = [
            [self._text(*_tokens(workload.document_pieces)) for _ in range(workload.documents)]
            for _ in range(organisations)
        ]
        self._subjects = [self._text(*workload.subject_tokens) for _ in range(workload.subjects)]

    def draw(self, at: float, shifted: bool) -> Arrival:
        """Return a request; after the hot shift other documents are the popular ones."""
        workload = self._workload
        organisation = self._draw.choices(
            range(len(workload.organisation_shares)), workload.organisation_shares
        )[0]
        rank = bisect.bisect(self._ranks, self._draw.random() * self._ranks[-1])
        document = (rank + shifted * workload.documents // 2) % workload.documents
        question = self._text(*workload.question_tokens)
        parts = (
            self._documents[organisation][document],
            self._draw.choice(self._subjects),
            question,
        )
        return Arrival(
            at,
            f"{workload.name}-{organisation + 1}",
            b"".join(parts),
            self._draw.randint(*workload.answer_tokens),
            shifted,
        )

    def _text(self, low: int, high: int) -> bytes:
        tokens = self._draw.randint(low, high)
        word = b"%07x " % self._draw.getrandbits(28)
        return (word * (tokens // 2 + 1))[: tokens * prompt_blocks.TOKEN_BYTES]


def arrivals(workload: Workload, rate: float, seconds: float, seed: int) -> Iterator[Arrival]:
    """Yield Poisson arrivals at `rate` requests a second; the hot set shifts half way."""
    prompts = Prompts(workload, seed)
    draw = random.Random(seed + 1)
    at = draw.expovariate(rate)
    while at < seconds:
        yield prompts.draw(at, at >= seconds / 2)
        at += draw.expovariate(rate)


def _tokens(in_pieces: tuple[int, int]) -> tuple[int, int]:
    low, high = in_pieces
    return low * prompt_blocks.BLOCK_TOKENS, high * prompt_blocks.BLOCK_TOKENS
