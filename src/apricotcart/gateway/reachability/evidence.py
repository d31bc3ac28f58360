"""What the last seconds' connections of this host say about endpoints."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final

from apricotcart.gateway.reachability.attempts import Attempts

# Without any call for this long, the process or its machine stood still, and
# connections failed for that reason. Calls come every 0.05 s.
_GAP_S: Final = 1.0
# How long a failed connection counts. An endpoint may be tried again only
# after the others, which takes seconds.
_FAILURE_TTL_S: Final = 4.0
# Interval at which old attempts are removed.
_EXPIRY_INTERVAL_S: Final = 0.2
# Different endpoints at which connections must have failed, so that the crash
# of a single endpoint or of a pair does not raise the suspicion.
_SUSPECT_ENDPOINTS: Final = 3
# Failures that are required however few endpoints are listed.
_SUSPECT_FAILURES: Final = 2
# A connection is established within a round trip of a few milliseconds; after
# this long without an answer, others are tried beside it.
_LATE_S: Final = 0.15
# A failed connection is a reason to probe for this long.
_DOUBT_S: Final = 2.0


class Evidence:
    """Successes and failures of connections by address of the endpoint.

    Attributes
    ----------
    listed : frozenset of str
        Addresses of the listed endpoints; others do not count.
    doubted_since : float or None
        Start of the first connection that failed since the last success of a
        new one; None without a failure.
    attempts : Attempts
        Last outcomes by endpoint, also across successes at others.
    last_success_at : float
        When an endpoint was last reached, in seconds.
    """

    __slots__ = (
        '_connected',
        '_connected_at',
        '_expired_at',
        '_failed',
        '_failures',
        '_pending',
        '_received',
        '_seen_at',
        '_silent_at',
        'attempts',
        'doubted_since',
        'last_success_at',
        'listed',
    )

    def __init__(self) -> None:
        self.listed: frozenset[str] = frozenset()
        self.doubted_since: float | None = None
        self.attempts = Attempts()
        self.last_success_at: float = 0
        self._connected_at: float = 0
        self._silent_at: float = 0
        self._seen_at: float = 0
        self._expired_at: float = 0
        self._failures = 0
        self._failed: dict[str, float] = {}
        self._connected: dict[str, float] = {}
        self._received: dict[str, float] = {}
        self._pending: dict[str, float] = {}

    @property
    def failed(self) -> frozenset[str]:
        """Endpoints that failed since the last success of a connection."""
        return frozenset(self._failed)

    @property
    def pending(self) -> frozenset[str]:
        """Endpoints to which a connection is being established."""
        return frozenset(self._pending)

    @property
    def is_suspect(self) -> bool:
        """Whether connections have failed at several endpoints."""
        required = min(_SUSPECT_ENDPOINTS, len(self.listed))
        return (
            self._failures >= _SUSPECT_FAILURES
            and len(self._failed) >= required
        )

    def advance(self, now: float) -> bool:
        """Forget what is too old; return whether the host stood still."""
        has_stood_still = now > self._seen_at + _GAP_S
        self._seen_at = max(now, self._seen_at)
        if has_stood_still:
            self._forget_failures()
            self._pending.clear()
            self.attempts.clear()
            self.last_success_at = now
        if now >= self._expired_at + _EXPIRY_INTERVAL_S:
            self._expired_at = now
            self._expire(now - _FAILURE_TTL_S)
            self.attempts.retain(self.listed, now)
        return has_stood_still

    def replace_listed(self, addresses: Iterable[str]) -> None:
        """Set the listed endpoints and forget all others."""
        self.listed = frozenset(addresses)
        for times in (self._failed, self._connected, self._received):
            for address in times.keys() - self.listed:
                times.pop(address)
        if not self._failed:
            self._forget_failures()

    def on_connecting(self, address: str, now: float) -> None:
        """Record that a connection is being established."""
        self._pending.setdefault(address, now)

    def on_connected(self, address: str, now: float) -> None:
        """Record a new connection, which refutes the failures before it."""
        self._pending.pop(address, None)
        self.attempts.on_connected(address, now)
        self._connected[address] = now
        self._connected_at = now
        self.last_success_at = now
        self._forget_failures()

    def on_failed(self, address: str, started_at: float, now: float) -> None:
        """Record a failed connection.

        One that began before another one succeeded says nothing about the
        path to the endpoints.
        """
        self._pending.pop(address, None)
        if address not in self.listed:
            return
        self.attempts.on_failed(address, started_at, now)
        if started_at < self._connected_at:
            return
        self._failed[address] = now
        self._failures += 1
        if self.doubted_since is None:
            self.doubted_since = started_at

    def on_received(self, address: str, now: float) -> None:
        """Record received bytes.

        While connections fail, they may come on connections that a cut has
        spared.
        """
        self._received[address] = now
        if not self._failed:
            self.last_success_at = now

    def on_silent(self, now: float) -> None:
        """Record an open connection that brought no bytes."""
        self._silent_at = now

    def is_doubtful(self, now: float) -> bool:
        """Return whether something suggests that no endpoint is reached."""
        last_failed_at = max(self._failed.values(), default=0)
        return (
            bool(self._failed and last_failed_at >= now - _DOUBT_S)
            or self._silent_at > self.last_success_at
            or any(
                self._connected_at < started_at <= now - _LATE_S
                for started_at in self._pending.values()
            )
        )

    def needs_probes(self, now: float) -> bool:
        """Return whether to find out by probes what is reached."""
        is_failing = len(self.attempts.failing) >= _SUSPECT_ENDPOINTS
        return is_failing or self.is_doubtful(now)

    def reached_since(self, since: float) -> list[str]:
        """Return the endpoints that were reached since a time, last first."""
        latest = dict(self._connected)
        if not self._failed:
            for address, received_at in self._received.items():
                connected_at = latest.get(address, 0)
                latest[address] = max(received_at, connected_at)
        recent = [name for name in latest if latest[name] >= since]
        return sorted(recent, key=lambda name: latest[name], reverse=True)

    def _expire(self, since: float) -> None:
        self._failed = {
            address: failed_at
            for address, failed_at in self._failed.items()
            if failed_at >= since
        }
        if not self._failed:
            self._forget_failures()

    def _forget_failures(self) -> None:
        self._failed.clear()
        self._failures = 0
        self.doubted_since = None
