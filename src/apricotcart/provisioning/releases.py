"""Releases of endpoints, sent until the platform no longer lists them."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from apricotcart.provisioning.authority import Authority
    from apricotcart.provisioning.inventory import Inventory
    from apricotcart.provisioning.outbox import Outbox

_UNANSWERED = float('inf')


class Releases:
    """Sends releases of endpoints.

    A release is repeated if a list that was read after its answer, or after
    its failure, still has the endpoint. The platform ignores the names of
    endpoints that it has already released.

    Parameters
    ----------
    authority : Authority
        Provides the fencing token.
    outbox : Outbox
        Queue of outgoing releases.
    inventory : Inventory
        Provides the time at which the list was read.
    """

    __slots__ = (
        '_authority',
        '_inventory',
        '_op_numbers',
        '_outbox',
        '_answered_at',
    )

    def __init__(
        self,
        authority: Authority,
        outbox: Outbox,
        inventory: Inventory,
    ) -> None:
        self._authority = authority
        self._outbox = outbox
        self._inventory = inventory
        self._op_numbers = count(1)
        self._answered_at: dict[str, float] = {}

    def send(self, name: str) -> None:
        """Send a release unless an earlier one may still take effect.

        This is so until it is answered and the list is read after that.
        """
        started_at = self._inventory.started_at or 0
        if name in self._answered_at and started_at <= self._answered_at[name]:
            return
        self._answered_at[name] = _UNANSWERED
        fencing = self._authority.fencing_token
        number = next(self._op_numbers)
        self._outbox.send(
            lambda now, _: self._answered_at.update({name: now}),
            path='/endpoints/releases',
            body={
                'fencing': fencing,
                'holder': self._authority.holder,
                'op_id': f'release-{fencing}-{number}',
                'endpoints': [name],
            },
        )

    def clear(self) -> None:
        """Discard all releases."""
        self._answered_at.clear()
