"""Gauges of an entry host, set from its configuration copy."""

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
    """Updates the gauges that do not depend on single requests."""

    __slots__ = ('_config_copy', '_metrics')

    def __init__(self, metrics: Metrics, config_copy: ConfigCopy) -> None:
        self._metrics = metrics
        self._config_copy = config_copy

    def update(self) -> None:
        """Set all gauges to the current state."""
        config_copy = self._config_copy
        self._metrics.set_gauge(CONFIG_REVISION, config_copy.view.revision)
        age_s = time.monotonic() - config_copy.last_sync_started_at
        self._metrics.set_gauge(CONFIG_AGE_S, age_s)
