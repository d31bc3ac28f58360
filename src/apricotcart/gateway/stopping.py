"""Planned shutdown in phases, bounded by the time until the kill."""

from __future__ import annotations

import time
from typing import Final

from apricotcart.gateway.stop_state import Phase, StopState
from apricotcart.timers.clock import boot_clock_s
from apricotcart.web.server_group import (
    KILL_MARGIN_S,
    LAST_ANSWERS_S,
    ServerGroup,
    StopReason,
)

# Callers cache a directory answer for its time to live, some for three times
# that.
_TTL_MULTIPLE: Final = 3
# How long all new requests are still accepted; later ones only if they end
# before the kill in any case.
_ACCEPT_S: Final = 2.8
# Time from the start of the shutdown until the directory no longer lists this
# host.
_DIRECTORY_LAG_S: Final = 1.0


def stop_calls(
    stop_state: StopState,
    servers: ServerGroup,
    stop_at: float,
    stop_s: float,
    answer_ttl_s: float,
) -> StopReason:
    """Finish the requests in progress before the process stops.

    Parameters
    ----------
    stop_state : StopState
        Phase of the stop, and what ends the requests.
    servers : ServerGroup
        HTTP servers of the process.
    stop_at : float
        When the stop was asked for, in seconds of the boot clock.
    stop_s : float
        Time from then until the process is killed, in seconds.
    answer_ttl_s : float
        Time to live of the directory answers that list this host, in
        seconds.

    Returns
    -------
    StopReason
        The condition that ended the stop.
    """
    deadline = stop_at + stop_s - KILL_MARGIN_S
    leaving_s = min(answer_ttl_s * _TTL_MULTIPLE + _DIRECTORY_LAG_S, stop_s / 2)
    stop_state.ends_at = deadline - LAST_ANSWERS_S
    stop_state.phase = Phase.LEAVING
    servers.leave()
    _sleep_until(stop_at + min(_ACCEPT_S, leaving_s))
    stop_state.phase = Phase.CLOSING
    _sleep_until(stop_at + leaving_s)
    stop_state.phase = Phase.FINISHING
    return servers.finish(deadline, stop_state.end_all)


def _sleep_until(ends_at: float) -> None:
    time.sleep(max(0, ends_at - boot_clock_s()))
