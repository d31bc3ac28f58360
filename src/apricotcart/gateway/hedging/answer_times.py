"""Distribution of the times until endpoints answer, with decay."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from typing import Final

# Lower bound of the first bucket in seconds, and the ratio of the bounds of two
# neighbouring buckets.
_FIRST_BUCKET_S: Final = 0.001
_BUCKET_RATIO: Final = 1.15
# Highest bucket, of some 18 minutes.
_MAX_BUCKET: Final = 100
# Time constant of the decay, so that what is late follows the load.
_DECAY_S: Final = 20.0
# Counts below this are dropped.
_MIN_COUNT: Final = 0.05

Counts = Mapping[int, float]


class AnswerTimes:
    """Decayed counts of answer times by bucket.

    A bucket is an interval of times; the bounds grow by a constant ratio.
    """

    __slots__ = ('_counts', '_decayed_at')

    def __init__(self) -> None:
        self._counts: dict[int, float] = {}
        self._decayed_at: float = 0

    def add(self, now: float, elapsed_s: float) -> None:
        """Count one answer.

        Parameters
        ----------
        now : float
            Time in seconds.
        elapsed_s : float
            Time from the send to the answer in seconds.
        """
        self._decay(now)
        bucket = _bucket_of(elapsed_s)
        self._counts[bucket] = self._counts.get(bucket, 0) + 1

    def counts(self, now: float) -> dict[int, float]:
        """Return the counts by bucket at a time in seconds."""
        self._decay(now)
        return dict(self._counts)

    def _decay(self, now: float) -> None:
        factor = math.exp(min(0, self._decayed_at - now) / _DECAY_S)
        self._decayed_at = max(now, self._decayed_at)
        if factor < 1:
            self._counts = {
                bucket: count * factor
                for bucket, count in self._counts.items()
                if count * factor >= _MIN_COUNT
            }


def quantile_s(counts: Counts, ratio: float, min_answers: float) -> float:
    """Return the time within which a ratio of the answers came.

    Parameters
    ----------
    counts : mapping of int to float
        Answers by bucket.
    ratio : float
        Ratio of the answers, between 0 and 1.
    min_answers : float
        Number of answers without which nothing is known.

    Returns
    -------
    float
        Upper bound of the bucket in seconds, infinite if nothing is known.
    """
    total = sum(counts.values())
    if total < min_answers:
        return math.inf
    covered: float = 0
    for bucket in sorted(counts):
        covered += counts[bucket]
        if covered >= total * ratio:
            return _upper_bound_s(bucket)
    return math.inf


def sum_counts(parts: Iterable[Counts]) -> dict[int, float]:
    """Return the sums of counts by bucket."""
    sums: dict[int, float] = {}
    for counts in parts:
        for bucket, count in counts.items():
            sums[bucket] = sums.get(bucket, 0) + count
    return sums


def _bucket_of(elapsed_s: float) -> int:
    if elapsed_s <= _FIRST_BUCKET_S:
        return 0
    steps = math.log(elapsed_s / _FIRST_BUCKET_S) / math.log(_BUCKET_RATIO)
    return min(math.ceil(steps), _MAX_BUCKET)


def _upper_bound_s(bucket: int) -> float:
    return _FIRST_BUCKET_S * _BUCKET_RATIO**bucket
