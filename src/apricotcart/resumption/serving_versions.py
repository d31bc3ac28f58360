"""Software versions that may have begun a stream that can be resumed."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence

from apricotcart.endpoints.instances import Instance
from apricotcart.resumption.origins import RETENTION_S

VersionsByService = Mapping[str, frozenset[str]]
_NONE: frozenset[str] = frozenset()


def versions_from_wire(
    versions: Mapping[str, Sequence[str]],
) -> VersionsByService:
    """Return the versions of a message by service."""
    return {service: frozenset(texts) for service, texts in versions.items()}


def listed_versions(instances: Iterable[Instance]) -> VersionsByService:
    """Return the versions of the endpoints of each service.

    Endpoints that drain count too, since they finish their streams.
    """
    versions: dict[str, set[str]] = defaultdict(set)
    for instance in instances:
        versions[instance.service].add(instance.software_version)
    return {name: frozenset(texts) for name, texts in versions.items()}


def merge_versions(
    one: VersionsByService, other: VersionsByService
) -> VersionsByService:
    """Return the versions in either of two mappings."""
    merged = dict(one)
    for service, versions in other.items():
        merged[service] = versions | merged.get(service, _NONE)
    return merged


class VersionTracker:
    """Decides which versions the replicated state must contain.

    A version is added when it is first listed, and removed when no endpoint
    has had it for as long as its streams may be resumed. That time is
    measured by the leader itself and starts anew with each leader, so that
    it does not depend on the clocks of several hosts.
    """

    __slots__ = ('_absent_since',)

    def __init__(self) -> None:
        self._absent_since: dict[tuple[str, str], float] = {}

    def reset(self) -> None:
        """Forget the times, since this host does not lead."""
        self._absent_since = {}

    def next_versions(
        self,
        now: float,
        listed: VersionsByService,
        committed: VersionsByService,
    ) -> VersionsByService:
        """Return the versions to commit.

        Parameters
        ----------
        now : float
            Time in seconds.
        listed : mapping
            Versions in the current list of endpoints, by service.
        committed : mapping
            Versions in the replicated state, by service.
        """
        absent = {
            (service, version)
            for service, versions in committed.items()
            for version in versions - listed.get(service, _NONE)
        }
        self._absent_since = {
            key: self._absent_since.get(key, now) for key in absent
        }
        kept = {
            service: self._without_expired(now, service, versions)
            for service, versions in merge_versions(committed, listed).items()
        }
        return {name: versions for name, versions in kept.items() if versions}

    def _without_expired(
        self, now: float, service: str, versions: frozenset[str]
    ) -> frozenset[str]:
        return frozenset(
            version
            for version in versions
            if now - self._absent_since.get((service, version), now)
            < RETENTION_S
        )
