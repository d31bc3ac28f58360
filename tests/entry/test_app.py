"""Failures of responses while the host counts its requests."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from apricotcart.entry.app import CountedChunks
from apricotcart.entry.stopping import ActiveRequests


class BrokenBody:
    """A body whose end fails."""

    def __iter__(self) -> Iterator[bytes]:
        """Give no chunk."""
        return iter(())

    def close(self) -> None:
        """Fail."""
        raise KeyError('a fault of the program')


def test_body_that_fails_to_close_is_uncounted() -> None:
    """Guards against a planned stop that waits for ever."""
    active = ActiveRequests()
    active.enter()
    with pytest.raises(KeyError):
        CountedChunks(BrokenBody(), active).close()
    assert not active.count


def test_unstarted_body_is_closed_and_uncounted() -> None:
    """Guards against a request that stays active without a reader."""
    active = ActiveRequests()
    active.enter()
    CountedChunks((chunk for chunk in (b'a',)), active).close()
    assert not active.count
