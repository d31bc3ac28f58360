"""Keeps the heap of a process with many threads small."""

from __future__ import annotations

import ctypes
import os
from typing import Final

# Parameter of the C library's ``mallopt``. Source: malloc.h of glibc.
_ARENA_MAX: Final = -8
_ENVIRONMENT: Final = 'MALLOC_ARENA_MAX'


def share_one_heap() -> None:
    """Let all threads allocate from one heap.

    The C library gives threads heaps of their own, and freed memory stays with
    each of them. Must be called before threads are started. What the
    environment says about the number of heaps goes first, and C libraries
    without this parameter are left as they are.
    """
    if _ENVIRONMENT in os.environ:
        return
    mallopt = getattr(ctypes.CDLL(None), 'mallopt', None)
    if mallopt is not None:
        mallopt(_ARENA_MAX, 1)
