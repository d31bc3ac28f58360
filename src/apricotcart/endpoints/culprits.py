"""Decides which suspects caused the crashes of endpoints.

An endpoint runs many requests at a time, so that its crash casts suspicion on
all that had just begun or were about to begin. What is sound is cleared by a
success; what remains after independent crashes of several endpoints is blamed.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Final

from apricotcart.endpoints.crashes import (
    Crashes,
    Suspect,
    SuspectKind,
    count_independent,
)

# Independent crashes after which a suspect is blamed.
CRASHES_TO_QUARANTINE: Final = 3


def find_culprits(
    evidence: Mapping[Suspect, Crashes], depths: Mapping[Suspect, int]
) -> frozenset[Suspect]:
    """Return the suspects that crashes of enough endpoints point to.

    The most specific suspect is blamed, since that refuses the fewest sound
    requests. A part is blamed beside whole requests with it only for a crash
    that these do not explain.

    Parameters
    ----------
    evidence : mapping of Suspect to Crashes
        Crashes that no success refutes.
    depths : mapping of Suspect to int
        Number of parts before each part.
    """
    requests = _blame(evidence, _requests_by_strength(evidence))
    explained = _endpoints_of(evidence, requests)
    parts = [
        part
        for part in _parts_by_depth(evidence, depths)
        if evidence[part].keys() - explained
    ]
    return frozenset((*requests, *_blame(evidence, parts)))


def _blame(
    evidence: Mapping[Suspect, Crashes], suspects: Iterable[Suspect]
) -> list[Suspect]:
    """Blame suspects in order; what one explains counts for no other."""
    culprits: list[Suspect] = []
    explained: set[str] = set()
    for suspect in suspects:
        crashes = evidence[suspect]
        unexplained = [
            crash
            for endpoint, crash in crashes.items()
            if endpoint not in explained
        ]
        if count_independent(unexplained) >= CRASHES_TO_QUARANTINE:
            culprits.append(suspect)
            explained.update(crashes)
    return culprits


def _endpoints_of(
    evidence: Mapping[Suspect, Crashes], suspects: Iterable[Suspect]
) -> set[str]:
    return {endpoint for suspect in suspects for endpoint in evidence[suspect]}


def _requests_by_strength(
    evidence: Mapping[Suspect, Crashes],
) -> list[Suspect]:
    """Sort requests by their crashes, and among equals by shorter runs.

    What ends an endpoint does so soon after it was sent; what merely runs
    beside it may have run for any time.
    """
    return sorted(
        (
            suspect
            for suspect in evidence
            if suspect.kind is SuspectKind.REQUEST
        ),
        key=lambda suspect: (
            -len(evidence[suspect]),
            sum(crash.run_s for crash in evidence[suspect].values()),
        ),
    )


def _parts_by_depth(
    evidence: Mapping[Suspect, Crashes], depths: Mapping[Suspect, int]
) -> list[Suspect]:
    """Sort parts, deepest first: a part mostly comes with those before it."""
    return sorted(
        (suspect for suspect in evidence if suspect.kind is SuspectKind.PART),
        key=lambda suspect: (depths.get(suspect, 0), len(evidence[suspect])),
        reverse=True,
    )
