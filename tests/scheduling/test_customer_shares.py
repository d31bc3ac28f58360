"""Guards against one customer that takes the room of all others."""

from __future__ import annotations

from apricotcart.scheduling.customer_shares import (
    CustomerLoad,
    CustomerShares,
)


def _shares(loads: dict[str, tuple[int, int]], capacity: int) -> CustomerShares:
    return CustomerShares(
        {
            name: CustomerLoad([0, running, 0], [0, queued, 0])
            for name, (running, queued) in loads.items()
        },
        capacity,
    )


def test_customer_at_its_share_gives_way_while_another_waits() -> None:
    shares = _shares({'hot': (70, 500), 'a': (10, 30), 'b': (20, 0)}, 100)
    assert shares.is_exceeded('hot', 0)
    assert not shares.is_exceeded('a', 0)


def test_customer_may_use_all_while_nobody_else_waits() -> None:
    """Guards against idle slots beside a queue."""
    shares = _shares({'hot': (90, 500), 'a': (10, 0)}, 100)
    assert not shares.is_exceeded('hot', 0)


def test_some_customer_may_always_use_free_capacity() -> None:
    """Guards against customers that all wait for each other."""
    shares = _shares({'a': (45, 50), 'b': (45, 50), 'c': (9, 9)}, 100)
    assert not all(shares.is_exceeded(name, 0) for name in 'abc')


def test_urgent_requests_do_not_wait_for_less_urgent_of_their_customer() -> (
    None
):
    shares = _shares({'hot': (70, 500), 'a': (10, 30)}, 100)
    assert shares.is_exceeded('hot', 1)
    assert not shares.is_exceeded('hot', 2)
