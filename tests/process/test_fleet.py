"""Guards against signals that a process does not survive or obey."""

from __future__ import annotations

import logging
import os
import signal
import threading
import time
from queue import Queue
from types import SimpleNamespace
from typing import Any, Final

import pytest

from apricotcart.observability.logs import DroppingQueueHandler
from apricotcart.process.fleet import FleetProcess
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.server_group import StopReason

_START_S: Final = 0.3
_TIMEOUT_S: Final = 5
_SIGNALS: Final = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


class SlowProcess(FleetProcess):
    """Receives signals while it starts, then stops."""

    role = 'gateway'

    def __init__(self, *signals: signal.Signals) -> None:
        cfg: Any = SimpleNamespace(host=SimpleNamespace(name='a'))
        adapter: Any = None
        super().__init__(cfg, adapter)
        self._signals = signals
        self.stop_delays_s: list[float] = []

    def _serve_metrics(self) -> None:
        """Serve no metrics."""

    def _start(self) -> None:
        for number in self._signals:
            os.kill(os.getpid(), number)
        time.sleep(_START_S)

    def _stop(self, stop_at: float) -> StopReason:
        self.stop_delays_s.append(boot_clock_s() - stop_at)
        return StopReason.IDLE


@pytest.fixture(autouse=True)
def _restore_handlers() -> Any:
    handlers = [signal.getsignal(number) for number in _SIGNALS]
    yield
    for number, handler in zip(_SIGNALS, handlers, strict=True):
        signal.signal(number, handler)


@pytest.mark.parametrize(
    'signals',
    [
        (signal.SIGTERM,),
        (signal.SIGTERM, signal.SIGTERM),
        (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP),
    ],
    ids=['once', 'twice', 'with-hangup'],
)
def test_signals_during_the_start_stop_once(
    signals: tuple[signal.Signals, ...],
) -> None:
    """Guards against a stop that exceeds its time.

    The time to the kill runs from the signal, also during a slow start.
    """
    process = SlowProcess(*signals)
    assert process.run() == 0
    assert len(process.stop_delays_s) == 1
    assert process.stop_delays_s[0] >= _START_S


@pytest.mark.parametrize('number', _SIGNALS, ids=lambda number: number.name)
def test_handler_does_not_wait_for_the_log(number: signal.Signals) -> None:
    """Guards against a handler that blocks the code which it interrupts.

    A handler that logged waited for ever if the main thread was logging.
    """
    queue: Queue[Any] = Queue()
    queue_handler = DroppingQueueHandler(queue)
    root = logging.getLogger()
    level = root.level
    root.addHandler(queue_handler)
    root.setLevel(logging.INFO)
    process = SlowProcess(signal.SIGTERM)
    process.run()
    handle: Any = signal.getsignal(number)
    handling = threading.Thread(target=handle, args=(number, None), daemon=True)
    with queue.mutex:
        handling.start()
        handling.join(_TIMEOUT_S)
        is_blocked = handling.is_alive()
    root.removeHandler(queue_handler)
    root.setLevel(level)
    assert not is_blocked


def test_failure_stops_the_process() -> None:
    process = SlowProcess()
    threading.Timer(_START_S, process.fail).start()
    assert process.run() == 1
