"""Selection of the usage windows to close."""

from __future__ import annotations

from collections.abc import Container, Iterator
from typing import Final

# Time after the end of a window in which its last counts reach the leader.
SETTLE_DELAY_S: Final = 2.5
# Number of past windows that a leader still closes. Gateways keep the counts
# of more windows than this.
_LOOK_BACK_WINDOWS: Final = 4


def windows_to_close(
    unix_s: float,
    window_s: float,
    closed: Container[int],
    first_window: int,
) -> Iterator[int]:
    """Return the open windows whose counts are complete.

    Parameters
    ----------
    unix_s : float
        Unix time in seconds.
    window_s : float
        Length of a window in seconds.
    closed : container of int
        Numbers of the closed windows.
    first_window : int
        Number of the first window that this host counts.
    """
    newest = int((unix_s - SETTLE_DELAY_S) // window_s) - 1
    oldest = max(first_window, newest - _LOOK_BACK_WINDOWS + 1)
    for window in range(oldest, newest + 1):
        if window not in closed:
            yield window
