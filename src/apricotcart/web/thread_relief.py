"""Frees threads that wait for callers while others need one."""

from __future__ import annotations

from typing import Any


def free_threads(server: Any, most: int) -> None:
    """End what keeps threads of a server waiting, if all are in use.

    Answers that callers do not read end first, then bodies that they do not
    send, the longest wait first.

    Parameters
    ----------
    server : DrainingServer
        The server.
    most : int
        Maximum number of threads to free.
    """
    pool = server.requests
    if getattr(pool, 'can_grow', False) or not pool.qsize or pool.idle:
        return
    for _ in range(min(most, pool.qsize)):
        has_ended = server.response_memory.end_longest(server)
        if not (has_ended or server.body_memory.end_oldest(server)):
            return
