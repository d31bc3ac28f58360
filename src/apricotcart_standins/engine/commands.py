"""Engine commands that load and unload models and set the role."""

from __future__ import annotations

import threading
import time
from itertools import compress
from typing import Any, TypeAlias
from urllib.parse import quote

import urllib3

from apricotcart_standins.fencing import FencingCheck
from apricotcart_standins.web import (
    STATUS_BAD_REQUEST,
    STATUS_CONFLICT,
    STATUS_OK,
    error_body,
)

_Fields: TypeAlias = dict[str, Any]

STATUS_UNAVAILABLE = 503

_LOAD_ACTIONS = frozenset(('load', 'load_adapter', 'load_version'))
_UNLOAD_ACTIONS = frozenset(('unload', 'unload_adapter', 'unload_version'))


class CommandTable:
    """Models of an engine and the commands it received.

    Parameters
    ----------
    models : list of str
        Models loaded at the start.
    checks_fencing : bool
        Whether to refuse a command whose fencing token is lower than the
        highest one seen.
    load_s : float
        Time from the command until the model is ready, in seconds.
    weight_store : str
        Base URL from which a load fetches the weights; empty for none.
    """

    __slots__ = (
        '_check',
        '_load_s',
        '_lock',
        '_models',
        '_weight_store',
        'records',
        'role',
    )

    def __init__(
        self,
        models: list[str],
        *,
        checks_fencing: bool,
        load_s: float,
        weight_store: str = '',
    ) -> None:
        """Initialize with the given models ready."""
        self._weight_store = weight_store
        self._models = dict.fromkeys(models, time.monotonic())
        self._load_s = load_s
        self._check = FencingCheck(enforced=checks_fencing)
        self._lock = threading.Lock()
        self.records: list[dict[str, Any]] = []
        self.role = 'both'

    def models(self) -> list[str]:
        """Return the names of the models that are ready."""
        now = time.monotonic()
        with self._lock:
            ready = [self._models[name] <= now for name in self._models]
            return list(compress(self._models, ready))

    def execute(self, fields: _Fields) -> tuple[int, _Fields]:
        """Execute a command; return the status and body of the response."""
        with self._lock:
            return self._execute(fields)

    def _execute(self, fields: _Fields) -> tuple[int, _Fields]:
        fencing = int(fields.get('fencing') or 0)
        record = {**fields, 'at': time.time(), 'accepted': False}
        self.records.append(record)
        if self._check.observe_and_refuse(fencing):
            return STATUS_CONFLICT, error_body('stale_fencing')
        if fields.get('action') in _LOAD_ACTIONS and not self._fetch_weights(
            fields
        ):
            return STATUS_UNAVAILABLE, error_body('weights_unavailable')
        if not self._apply(fields):
            return STATUS_BAD_REQUEST, error_body('unknown_action')
        record['accepted'] = True
        return STATUS_OK, {'ok': True, 'ready_in_s': self._load_s}

    def _fetch_weights(self, fields: _Fields) -> bool:
        if not self._weight_store:
            return True
        model = quote(str(fields.get('model', '')), safe='')
        url = f'{self._weight_store}/weights/{model}'
        answer = urllib3.request('GET', url, retries=False)
        return answer.status == STATUS_OK

    def _apply(self, fields: dict[str, Any]) -> bool:
        action = fields.get('action')
        model = str(fields.get('model', ''))
        if action in _LOAD_ACTIONS:
            self._models.setdefault(model, time.monotonic() + self._load_s)
        elif action in _UNLOAD_ACTIONS:
            self._models.pop(model, None)
        elif action == 'set_role':
            self.role = str(fields.get('role', self.role))
        else:
            return False
        return True
