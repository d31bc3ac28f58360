"""Load reports that lag behind the state of the engine."""

from __future__ import annotations

import threading
import time
from collections import deque
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from apricotcart_standins.engine.batch import Batch

_SAMPLE_INTERVAL_S = 0.05
_MAX_SAMPLES = 2000


class LoadReports:
    """Samples the load of a batch and reports it with a lag.

    Parameters
    ----------
    batch : Batch
        The batch to sample every 0.05 s.
    slots : int
        Number of slots of the batch.
    lag_s : float
        Minimum age of the reported sample, in seconds.
    """

    __slots__ = ('_batch', '_lag_s', '_samples', '_slots', '_tokens')

    def __init__(self, batch: Batch, slots: int, lag_s: float) -> None:
        """Start sampling in a thread."""
        self._batch = batch
        self._slots = slots
        self._lag_s = lag_s
        self._tokens = 0
        self._samples: deque[dict[str, Any]] = deque(maxlen=_MAX_SAMPLES)
        self._samples.append(self._sample())
        threading.Thread(target=self._sample_periodically, daemon=True).start()

    def count_token(self) -> None:
        """Count one generated token towards the token rate."""
        self._tokens += 1

    def report(self) -> dict[str, Any]:
        """Return the latest sample that is at least `lag_s` old.

        Return the oldest sample if none is.
        """
        now = time.time()
        chosen = self._samples[0]
        for sample in list(self._samples):
            if sample['measured_at'] <= now - self._lag_s:
                chosen = sample
        return {**chosen, 'age_s': now - chosen['measured_at']}

    def _sample_periodically(self) -> None:
        while self._batch:
            time.sleep(_SAMPLE_INTERVAL_S)
            self._samples.append(self._sample())

    def _sample(self) -> dict[str, Any]:
        tokens = self._tokens
        self._tokens = 0
        return {
            'slots': self._slots,
            'slots_used': self._batch.active,
            'queue': self._batch.waiting,
            'token_rate': tokens / _SAMPLE_INTERVAL_S,
            'measured_at': time.time(),
        }
