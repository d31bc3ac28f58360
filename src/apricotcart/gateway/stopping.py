"""The phases of a planned stop, bounded by the time until the kill."""

from __future__ import annotations

import logging
import time
from typing import Final

from apricotcart.gateway.active_requests import Phase, RunningCalls

_LOG = logging.getLogger(__name__)
# Callers keep an answer for its time to live, some for three times as long.
_ANSWER_USES: Final = 3
# How long streams are still taken: those that begin later would be cut off
# by the kill.
_STREAMS_S: Final = 2.8
# Time for the directory to learn that this host leaves.
_NOTICE_S: Final = 1.0
# Time before the kill at which the process ends.
_MARGIN_S: Final = 0.4


def stop_calls(
    running: RunningCalls,
    stop_s: float,
    answer_ttl_s: float,
) -> None:
    """Finish the requests of a host that stops.

    Parameters
    ----------
    running : RunningCalls
        Requests in progress.
    stop_s : float
        Time until the process is killed, in seconds.
    answer_ttl_s : float
        Time to live of the answers that name this host.
    """
    end = time.monotonic() + stop_s - _MARGIN_S
    leaving_s = min(answer_ttl_s * _ANSWER_USES + _NOTICE_S, stop_s / 2)
    streams_s = min(_STREAMS_S, leaving_s)
    running.phase = Phase.LEAVING
    time.sleep(streams_s)
    running.phase = Phase.CLOSING
    time.sleep(leaving_s - streams_s)
    running.phase = Phase.FINISHING
    if running.wait_idle(end - time.monotonic()):
        _LOG.info('all requests have ended')
    else:
        _LOG.warning('requests are cut off by the end of the stop')
