"""Polling of the load reports of engines."""

from __future__ import annotations

import logging
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import orjson
import urllib3

from apricotcart.distribution.configcopy import ConfigCopy
from apricotcart.endpoints.records import LoadReport
from apricotcart.entry.dispatcher import Dispatcher
from apricotcart.responses.strict_connections import strict_pools
from apricotcart.responses.whole import read_whole
from apricotcart.scheduling.scheduler import Scheduler

_LOG = logging.getLogger(__name__)
POLL_INTERVAL_S = 1.0
_READ_TIMEOUT_S = 0.5
_MAX_REPORT_BYTES = 1_048_576
_WORKERS = 4
# A host with many endpoints polls only some of them in each round, so that
# the cost of a round does not grow with the number of endpoints.
MAX_READS_PER_ROUND = 32
_ENGINE = 'engine'

# Besides the errors of the call, those of a report that is no object, or has
# fields of another type, numbers out of range or too many levels.
_READ_ERRORS = (
    urllib3.exceptions.HTTPError,
    OSError,
    ArithmeticError,
    AttributeError,
    RecursionError,
    TypeError,
    ValueError,
)


class LoadPoller:
    """Polls ``/load`` of the configured engines in turn.

    Parameters
    ----------
    config_copy : ConfigCopy
        Source of pools and endpoints.
    dispatcher : Dispatcher
        Applies the reports to the scheduler.
    """

    __slots__ = (
        '_dispatcher',
        '_config_copy',
        '_http',
        '_position',
        '_workers',
    )

    def __init__(self, config_copy: ConfigCopy, dispatcher: Dispatcher) -> None:
        self._config_copy = config_copy
        self._dispatcher = dispatcher
        self._position = 0
        self._http = strict_pools()
        self._workers = ThreadPoolExecutor(_WORKERS, 'load')

    def poll(self) -> None:
        """Poll the next engines, at most ``MAX_READS_PER_ROUND``."""
        engines = self._engines()
        if not engines:
            return
        count = min(MAX_READS_PER_ROUND, len(engines))
        start = self._position % len(engines)
        self._position = start + count
        next_engines = (engines + engines)[start : start + count]
        for report in self._workers.map(self._read, next_engines):
            if report is not None:
                self._apply(*report)

    def _engines(self) -> list[tuple[str, str]]:
        view = self._config_copy.view
        pools = view.all_of('pool')
        return [
            (name, endpoint.spec['url'])
            for name, endpoint in view.all_of('endpoint').items()
            if pools[endpoint.spec['pool']].spec['kind'] == _ENGINE
        ]

    def _read(self, engine: tuple[str, str]) -> tuple[str, LoadReport] | None:
        name, url = engine
        started_at = time.monotonic()
        try:
            reply = self._http.request(
                'GET',
                f'{url}/load',
                timeout=_READ_TIMEOUT_S,
                preload_content=False,
            )
            fields = orjson.loads(read_whole(reply, _MAX_REPORT_BYTES))
            return name, _parse_report(fields, started_at)
        except _READ_ERRORS as exc:
            _LOG.debug(
                'reading the load report of engine %s failed: %s', name, exc
            )
            return None

    def _apply(self, name: str, report: LoadReport) -> None:
        self._dispatcher.notify(
            lambda scheduler, now: _apply_report(scheduler, now, name, report),
        )


def _parse_report(fields: dict[str, Any], started_at: float) -> LoadReport:
    return LoadReport(
        slots_used=int(fields.get('slots_used', 0)),
        queue=int(fields.get('queue', 0)),
        token_rate=float(fields.get('token_rate', 0)),
        measured_at=started_at - float(fields.get('age_s', 0)),
    )


def _apply_report(
    scheduler: Scheduler,
    now: float,
    name: str,
    report: LoadReport,
) -> None:
    scheduler.on_load_report(now, name, report)
