"""Synthetic workloads with long shared documents, nested prefixes and skewed popularity."""

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
    """Parameters of a workload.

    Parameters
    ----------
    name
        Name of the workload; ``bohari`` and ``verrerie`` are modelled on two users.
    organisation_shares
        Fraction of the requests that each organisation sends.
    documents
        Number of documents of each organisation.
    document_blocks
        Minimum and maximum length of a document in blocks.
    subjects
        Number of subjects, such as parishes or shops; each one's text follows the document in a
        prompt and is the second level of the shared prefix.
    subject_tokens, question_tokens, answer_tokens
        Minimum and maximum length of a subject, a question and an answer in tokens.
    zipf_exponent
        Exponent of the Zipf distribution of the documents' popularity.
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
    """One request of a workload.

    Parameters
    ----------
    at
        Time of arrival in seconds.
    organisation, prompt
        Sender and text.
    answer_tokens
        Length of the answer.
    shifted
        Whether it arrives after the change of the popular documents.
    """

    at: float
    organisation: str
    prompt: bytes
    answer_tokens: int
    shifted: bool


class PromptSampler:
    """Samples requests of a workload reproducibly.

    Parameters
    ----------
    workload
        Parameters of the workload.
    seed
        Seed of the documents, the subjects and the requests.
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
        """Return a request that arrives at `at`; if `shifted`, other documents are popular."""
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
    """Yield Poisson arrivals at `rate` requests per second for `seconds`.

    Halfway through, other documents become the popular ones.
    """
    sampler = PromptSampler(workload, seed)
    rng = random.Random(seed + 1)
    at = rng.expovariate(rate)
    while at < seconds:
        yield sampler.sample(at, at >= seconds / 2)
        at += rng.expovariate(rate)


def _token_bounds(blocks: tuple[int, int]) -> tuple[int, int]:
    low, high = blocks
    return low * prompt_blocks.BLOCK_TOKENS, high * prompt_blocks.BLOCK_TOKENS
