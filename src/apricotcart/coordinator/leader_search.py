"""Chooses which control host to ask next in the search for the leader."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from typing import Final

from apricotcart.consensus.identity import host_name
from apricotcart.errors.tree import NotLeaderError

# Time after which a host that did not answer is asked again although others
# answer. Until then it is asked only if one of them names it as the leader.
_RETRY_AFTER_S: Final = 2.0


class LeaderSearch:
    """Orders the control hosts by what is known about them.

    The last known leader is asked first, then the members that have failed
    least recently. Hosts that are not members, such as seeds that were
    replaced, are asked only while every member has failed.

    Parameters
    ----------
    seeds : iterable of str
        IP addresses of the control hosts that are known at the start.
    """

    __slots__ = ('_failed_at', '_leader', '_members', '_rng', '_seeds', '_term')

    def __init__(self, seeds: Iterable[str]) -> None:
        self._seeds = tuple(seeds)
        self._members: tuple[str, ...] = ()
        self._leader = ''
        # Highest term of a hint.
        self._term = 0
        self._failed_at: dict[str, float] = {}
        self._rng = random.Random()

    @property
    def leader(self) -> str:
        """IP address of the last known leader, or an empty string."""
        return self._leader

    def prefer(self, ip: str) -> None:
        """Ask this host first, unless ``ip`` is empty."""
        if ip:
            self._leader = ip

    def replace_members(self, node_ids: Iterable[str]) -> None:
        """Set the members of the cluster, by their identities.

        An empty list is ignored.
        """
        members = tuple(host_name(node_id) for node_id in node_ids)
        if members:
            self._members = members
            known = {*members, *self._seeds}
            self._failed_at = {
                ip: at for ip, at in self._failed_at.items() if ip in known
            }

    def has_failed(self, ip: str) -> bool:
        """Return whether the last call to a host had no answer."""
        return ip in self._failed_at

    def choose(self, asked: Collection[str], now: float) -> str | None:
        """Return the host to ask next, None if no call is worthwhile.

        Parameters
        ----------
        asked : collection of str
            Hosts that were already asked in this search.
        now : float
            Time in seconds.
        """
        if self._leader and self._leader not in asked:
            return self._leader
        candidates = [
            ip
            for ip in self._hosts()
            if ip not in asked and self._is_due(ip, bool(asked), now)
        ]
        self._rng.shuffle(candidates)
        return min(
            candidates,
            key=lambda ip: self._failed_at.get(ip, 0),
            default=None,
        )

    def on_answer(self, ip: str) -> None:
        """Record that a host answered as the leader."""
        self._failed_at.pop(ip, None)
        self._leader = ip

    def on_failure(self, ip: str, now: float) -> None:
        """Record that a host did not answer or could not reach a quorum."""
        self._failed_at[ip] = now
        if self._leader == ip:
            self._leader = ''

    def on_refusal(self, ip: str, exc: NotLeaderError) -> None:
        """Record that a host is not the leader, and follow its hint.

        A hint of an older term than another one is ignored: the host may
        have been removed from the cluster or be cut off.
        """
        self._failed_at.pop(ip, None)
        if self._leader == ip:
            self._leader = ''
        hinted_ip = host_name(str(exc.context.get('leader') or ''))
        term = int(exc.context.get('term') or 0)
        if hinted_ip in {'', ip} or term < self._term:
            return
        self._term = term
        self._leader = hinted_ip

    def _hosts(self) -> Iterable[str]:
        members = self._members or self._seeds
        if all(ip in self._failed_at for ip in members):
            return dict.fromkeys((*members, *self._seeds))
        return members

    def _is_due(self, ip: str, has_alternative: bool, now: float) -> bool:
        failed_at = self._failed_at.get(ip)
        if failed_at is None or not has_alternative:
            return True
        return now >= failed_at + _RETRY_AFTER_S
