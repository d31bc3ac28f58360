"""Tests of the timer that runs a task repeatedly."""

from __future__ import annotations

import logging
import threading

import pytest

from apricotcart.timers.repeating import RepeatingTimer

WAIT_S = 60.0


def test_timer_failing_task(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a failed run that stops the timer."""
    runs = threading.Semaphore(0)

    def task() -> None:
        runs.release()
        raise ValueError('a failed run')

    timer = RepeatingTimer('failing', 0, task)
    with caplog.at_level(logging.ERROR):
        timer.start()
        for _ in range(3):
            assert runs.acquire(timeout=WAIT_S)
        timer.stop()
    assert 'failing failed' in caplog.text


def test_timer_stop_waits_for_run() -> None:
    """Guards against a task that still runs after ``stop`` has returned."""
    started = threading.Event()
    proceed = threading.Event()
    finished: list[bool] = []

    def task() -> None:
        started.set()
        proceed.wait(WAIT_S)
        finished.append(True)

    timer = RepeatingTimer('slow', WAIT_S, task)
    timer.start()
    assert started.wait(WAIT_S)
    stopper = threading.Thread(target=timer.stop)
    stopper.start()
    proceed.set()
    stopper.join(WAIT_S)
    assert finished == [True]
    assert not stopper.is_alive()


def test_timer_stop_before_start() -> None:
    """Guards against a ``stop`` that fails if the timer was not started."""
    RepeatingTimer('idle', WAIT_S, threading.Event().set).stop()


def test_timer_failing_delay(caplog: pytest.LogCaptureFixture) -> None:
    """Guards against a delay that cannot be computed and ends the thread."""
    runs = threading.Semaphore(0)
    delays = iter([0, 0])
    timer = RepeatingTimer('late', lambda: next(delays), runs.release)
    with caplog.at_level(logging.ERROR):
        timer.start()
        for _ in range(4):
            assert runs.acquire(timeout=WAIT_S)
        timer.stop()
    assert 'the delay of late failed' in caplog.text
