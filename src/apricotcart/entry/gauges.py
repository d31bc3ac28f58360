"""Gauges of an entry host, set from its tables."""

from __future__ import annotations

import time

from apricotcart.distribution.configcopy import ConfigCopy
from apricotcart.observability.catalogue import (
    CONFIG_AGE_S,
    CONFIG_REVISION,
)
from apricotcart.observability.metrics import Metrics

GAUGE_INTERVAL_S = 1.0


class EntryGauges:
    """Sets the gauges that no single request changes."""

    __slots__ = ('_held', '_metrics')

    def __init__(self, metrics: Metrics, held: ConfigCopy) -> None:
        """Keep the copy."""
        self._metrics = metrics
        self._held = held

    def update(self) -> None:
        """Set all gauges to the present state."""
        held = self._held
        self._metrics.gauge(CONFIG_REVISION, held.view.revision)
        age_s = time.monotonic() - held.synced_from
        self._metrics.gauge(CONFIG_AGE_S, age_s)
