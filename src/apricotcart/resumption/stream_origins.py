"""Decides at which service and software version a stream may be resumed."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Final

from apricotcart.codec.identifiers import bounded_identifier
from apricotcart.observability.decisions import (
    STREAM_ORIGIN_FOUND,
    log_decision,
)
from apricotcart.resumption.errors import StreamOriginUnknownError
from apricotcart.resumption.origins import OriginTable, StreamOrigin
from apricotcart.resumption.record_store import RecordStore
from apricotcart.resumption.serving_versions import (
    VersionsByService,
    merge_versions,
    versions_from_wire,
)
from apricotcart.resumption.version_source import VersionSource
from apricotcart.timers.clock import boot_clock_s

# Interval at which new records are stored on the control hosts. Streams that
# break sooner after their first event are not resumed by another gateway.
STORE_INTERVAL_S: Final = 0.1
# Maximum number of records in one round.
_MAX_BATCH: Final = 500
_RETRY_AFTER_S: Final = 0.3
_NONE: frozenset[str] = frozenset()


class StreamOrigins:
    """Origins of the streams of all gateways, as far as they are needed.

    While one version serves a service, every stream of it began there, so
    that nothing has to be recorded outside this host. Otherwise the control
    hosts keep the records, since all gateways may be lost at once.

    Whether it is the only version must be confirmed after the request that
    resumes the stream has arrived. Other gateways may have begun streams at
    another one since this host last heard of them, however short ago.

    Parameters
    ----------
    store : RecordStore
        Keeps the records of all gateways.
    source : VersionSource
        Reads which versions serve.
    """

    __slots__ = (
        '_recent',
        '_source',
        '_store',
        '_versions',
        '_versions_at',
    )

    def __init__(self, store: RecordStore, source: VersionSource) -> None:
        self._store = store
        self._source = source
        self._recent = OriginTable()
        self._versions: VersionsByService = {}
        self._versions_at: float | None = None

    def update(
        self,
        versions: Mapping[str, Sequence[str]],
        members: Sequence[str],
        confirmed_at: float,
    ) -> None:
        """Apply what the leader knows.

        Parameters
        ----------
        versions : mapping
            All versions that served recently, by service.
        members : sequence of str
            Identities of the control hosts.
        confirmed_at : float
            When they were asked for, in seconds.
        """
        self._versions = versions_from_wire(versions)
        self._versions_at = confirmed_at
        self._store.replace_members(members)

    def record(self, attempt_ids: Sequence[str], origin: StreamOrigin) -> None:
        """Record that attempts of a caller have events of an origin."""
        now = boot_clock_s()
        for attempt_id in filter(None, attempt_ids):
            self._recent.add(now, bounded_identifier(attempt_id), origin)

    def store_new(self, listed: VersionsByService) -> None:
        """Store new records of services that have several versions.

        Parameters
        ----------
        listed : mapping
            Versions in this host's list of endpoints, by service.
        """
        services = [
            service
            for service, versions in self._all_versions(listed).items()
            if len(versions) > 1
        ]
        if not services:
            return
        unstored = self._recent.unstored(boot_clock_s(), services)
        newest = list(unstored.items())[-_MAX_BATCH:]
        if newest:
            self._recent.mark_stored(self._store.store(dict(newest)))

    def find(
        self,
        *,
        request_id: str,
        attempt_id: str,
        services: Sequence[str],
        listed: VersionsByService,
    ) -> StreamOrigin:
        """Return where a stream began that a caller resumes.

        Parameters
        ----------
        request_id : str
            Attempt that resumes the stream, for the log.
        attempt_id : str
            Attempt that brought its first event; empty if not stated.
        services : sequence of str
            Services of the route.
        listed : mapping
            Versions in this host's list of endpoints, by service.

        Raises
        ------
        StreamOriginUnknownError
            If it is not known.
        """
        started_at = boot_clock_s()
        source = 'local'
        origin = self._recent.find(started_at, attempt_id)
        if origin is None:
            source = 'single_version'
            origin = self._single_origin(services, listed, started_at)
        if origin is None and attempt_id:
            source = 'control_host'
            origin = self._store.find(attempt_id)
        if origin is None:
            raise StreamOriginUnknownError(
                'it is not known which software version began the stream',
                retry_after_s=_RETRY_AFTER_S,
            )
        log_decision(
            STREAM_ORIGIN_FOUND,
            request_id=request_id,
            resumes=attempt_id,
            software=origin.software_version,
            source=source,
            duration_s=boot_clock_s() - started_at,
        )
        return origin

    def _single_origin(
        self,
        services: Sequence[str],
        listed: VersionsByService,
        since: float,
    ) -> StreamOrigin | None:
        """Return the only possible origin, None if there may be several."""
        known = _origins_of(services, self._all_versions(listed))
        if len(known) > 1:
            return None
        if self._versions_at is None or self._versions_at < since:
            confirmed = self._source.read_since(since)
            if confirmed is None:
                return None
            known = _origins_of(
                services, merge_versions(confirmed, self._all_versions(listed))
            )
        return known[0] if len(known) == 1 else None

    def _all_versions(self, listed: VersionsByService) -> VersionsByService:
        return merge_versions(self._versions, listed)


def _origins_of(
    services: Sequence[str], versions: VersionsByService
) -> list[StreamOrigin]:
    """Return every origin that a stream of the services may have."""
    return [
        StreamOrigin(service=service, software_version=version)
        for service in services
        for version in versions.get(service, _NONE)
    ]
