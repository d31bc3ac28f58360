"""Chooses which control host to ask next in the search for the leader."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from typing import Final

from apricotcart.consensus.identity import host_name
from apricotcart.errors.tree import NotLeaderError

# Time after which a host that did not answer is asked again although others
# answer.
_RETRY_AFTER_S: Final = 2.0
# Failures in a row after which a host is not asked again earlier because others
# name it as the leader. They name a lost leader until they elect another one;
# a slow one answers when it is asked again with more time.
_MAX_NAMED_FAILURES: Final = 2
# Time since a host has heard the leader after which its hint does not tell that
# the leader is there: two heartbeats.
_CONTACT_S: Final = 0.4
# Hosts that one search asks in vain. Soon after an election each of them knows
# the new leader.
_MAX_REFUSALS: Final = 3


class _Failure:
    """The last calls to a host, which it did not answer.

    Attributes
    ----------
    at : float
        When the last one ended, in seconds.
    count : int
        Number of calls in a row.
    """

    __slots__ = ('at', 'count')

    def __init__(self, at: float, count: int) -> None:
        self.at = at
        self.count = count


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

    __slots__ = (
        '_failures',
        '_leader',
        '_members',
        '_named',
        '_rng',
        '_seeds',
        '_term',
    )

    def __init__(self, seeds: Iterable[str]) -> None:
        self._seeds = tuple(seeds)
        self._members: tuple[str, ...] = ()
        self._leader = ''
        # Host that others name as the leader although it does not answer.
        self._named = ''
        # Highest term of a hint or of a leader.
        self._term = 0
        self._failures: dict[str, _Failure] = {}
        self._rng = random.Random()

    @property
    def leader(self) -> str:
        """IP address of the last known leader, or an empty string."""
        return self._leader

    def replace_members(self, node_ids: Iterable[str]) -> None:
        """Set the members of the cluster, by their identities.

        An empty list is ignored.
        """
        members = tuple(host_name(node_id) for node_id in node_ids)
        if members:
            self._members = members
            known = {*members, *self._seeds}
            self._failures = {
                ip: failure
                for ip, failure in self._failures.items()
                if ip in known
            }

    def has_failed(self, ip: str) -> bool:
        """Return whether the last call to a host had no answer."""
        return ip in self._failures

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
        refusals = sum(ip not in self._failures for ip in asked)
        if refusals < _MAX_REFUSALS:
            candidate = self._next_candidate(asked, now)
            if candidate is not None:
                return candidate
        return self._named_host(asked, now)

    def on_answer(self, ip: str, term: int) -> None:
        """Record that a host answered as the leader of a term."""
        self._failures.pop(ip, None)
        self._leader = ip
        self._named = ''
        self._term = max(self._term, term)

    def on_failure(self, ip: str, now: float) -> None:
        """Record that a host did not answer or could not reach a quorum."""
        previous = self._failures.get(ip)
        count = previous.count + 1 if previous else 1
        self._failures[ip] = _Failure(now, count)
        if self._leader == ip:
            self._leader = ''

    def on_refusal(self, ip: str, exc: NotLeaderError) -> None:
        """Record that a host is not the leader, and follow its hint."""
        self._failures.pop(ip, None)
        if self._leader == ip:
            self._leader = ''
        self.follow_hint(exc, ip)

    def follow_hint(self, exc: NotLeaderError, ip: str = '') -> None:
        """Ask the host next that another one names as the leader.

        A hint of an older term than another one is ignored: the host may
        have been removed from the cluster or be cut off. A host that has not
        answered since is asked only if it leads a newer term or the other host
        is in contact with it, and last if that is not known.

        Parameters
        ----------
        exc : NotLeaderError
            Names the leader.
        ip : str
            The host that refused.
        """
        hinted_ip = host_name(str(exc.context.get('leader') or ''))
        term = int(exc.context.get('term') or 0)
        if hinted_ip in {'', ip} or term < self._term:
            return
        is_news = term > self._term
        self._term = term
        is_heard = _is_heard(exc)
        if is_news or is_heard or hinted_ip not in self._failures:
            self._leader = hinted_ip
        elif is_heard is None:
            self._named = hinted_ip

    def _next_candidate(self, asked: Collection[str], now: float) -> str | None:
        candidates = [
            ip
            for ip in self._hosts()
            if ip not in asked and self._is_due(ip, bool(asked), now)
        ]
        self._rng.shuffle(candidates)
        return min(candidates, key=self._failed_at, default=None)

    def _named_host(self, asked: Collection[str], now: float) -> str | None:
        ip = self._named
        failure = self._failures.get(ip)
        if failure is None:
            return None
        if failure.count >= _MAX_NAMED_FAILURES and not self._is_due(
            ip, bool(asked), now
        ):
            return None
        return ip

    def _hosts(self) -> Iterable[str]:
        members = self._members or self._seeds
        if all(ip in self._failures for ip in members):
            return dict.fromkeys((*members, *self._seeds))
        return members

    def _is_due(self, ip: str, has_alternative: bool, now: float) -> bool:
        if ip not in self._failures or not has_alternative:
            return True
        return now >= self._failed_at(ip) + _RETRY_AFTER_S

    def _failed_at(self, ip: str) -> float:
        failure = self._failures.get(ip)
        return failure.at if failure else 0


def _is_heard(exc: NotLeaderError) -> bool | None:
    """Return whether a host that refused has just heard the leader.

    None if it is of an earlier build, which does not tell.
    """
    heard_s = exc.context.get('heard_s')
    return None if heard_s is None else heard_s < _CONTACT_S
