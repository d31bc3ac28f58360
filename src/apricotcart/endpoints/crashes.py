"""Crashes of endpoints, and what they have in common."""

from __future__ import annotations

import enum
import math
from collections.abc import Iterable
from typing import Final

# Time within which hosts see the ends of endpoints that one fault of the
# machines ends. It includes the delays of messages between hosts.
FAULT_SPREAD_S: Final = 0.1


class SuspectKind(enum.StrEnum):
    """What may have crashed endpoints."""

    # Part of a prompt, by its id.
    PART = 'part'
    # Whole request, by its fingerprint.
    REQUEST = 'request'


class Suspect:
    """A part or a whole request that may crash endpoints.

    Attributes
    ----------
    kind : SuspectKind
        What it is.
    name : str
        Id of the part, or fingerprint of the request.
    """

    __slots__ = ('kind', 'name')

    def __init__(self, kind: SuspectKind, name: str) -> None:
        self.kind = kind
        self.name = name

    def __eq__(self, other: object) -> bool:
        """Return whether kind and name are equal."""
        if not isinstance(other, Suspect):
            return NotImplemented
        return (self.kind, self.name) == (other.kind, other.name)

    def __hash__(self) -> int:
        """Return the hash of kind and name."""
        return hash((self.kind, self.name))

    def __repr__(self) -> str:
        """Return kind and name."""
        return f'{self.kind} {self.name}'


class Crash:
    """A request that an endpoint was running when it crashed.

    Attributes
    ----------
    sent_at : float
        When the request was sent, in seconds.
    at : float
        When the endpoint crashed, in seconds.
    """

    __slots__ = ('at', 'sent_at')

    def __init__(self, *, sent_at: float, at: float) -> None:
        self.sent_at = sent_at
        self.at = at

    @property
    def run_s(self) -> float:
        """Time from the sending to the crash in seconds."""
        return self.at - self.sent_at


# Crashes by endpoint.
Crashes = dict[str, Crash]


def count_independent(crashes: Iterable[Crash]) -> int:
    """Return the number of crashes that have no common cause but the request.

    A fault of the machines ends several endpoints at a time. A crash does not
    belong to the same fault as the one before if it is later than that, or if
    its request was only sent afterwards.
    """
    count = 0
    counted_at = -math.inf
    for crash in sorted(crashes, key=lambda crash: crash.at):
        if max(crash.sent_at, crash.at - FAULT_SPREAD_S) >= counted_at:
            counted_at = crash.at
            count += 1
    return count
