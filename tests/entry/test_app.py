"""Tests that failing responses do not stay counted as active."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from apricotcart.entry.app import CountedChunks
from apricotcart.entry.stopping import ActiveRequests


class BrokenBody:
    """A body whose ``close`` fails."""

    def __iter__(self) -> Iterator[bytes]:
        """Yield no chunks."""
        return iter(())

    def close(self) -> None:
        """Fail."""
        raise KeyError('an unexpected error')


def test_body_that_fails_to_close_is_uncounted() -> None:
    """Guards against a planned stop that waits forever."""
    active = ActiveRequests()
    active.enter()
    with pytest.raises(KeyError):
        CountedChunks(BrokenBody(), active).close()
    assert not active.count


def test_unstarted_body_is_closed_and_uncounted() -> None:
    """Guards against a request that stays active if its body is not read."""
    active = ActiveRequests()
    active.enter()
    CountedChunks((chunk for chunk in (b'a',)), active).close()
    assert not active.count
