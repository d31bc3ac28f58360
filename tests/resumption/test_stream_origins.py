"""Guards against resuming a stream at a version that did not begin it."""

from __future__ import annotations

from collections.abc import Mapping

import pytest
from gateway.conftest import MemoryStore, Versions

from apricotcart.codec.identifiers import bounded_identifier
from apricotcart.resumption import stream_origins as module
from apricotcart.resumption.errors import StreamOriginUnknownError
from apricotcart.resumption.origins import StreamOrigin
from apricotcart.resumption.stream_origins import StreamOrigins

_V1 = StreamOrigin(service='lm', software_version='v1')
_V2 = StreamOrigin(service='lm', software_version='v2')
_ONE = {'lm': frozenset(('v1',))}
_BOTH = {'lm': frozenset(('v1', 'v2'))}
_MEMBERS = ['10.0.0.1.a']


class Clock:
    """Clock that only the test advances."""

    def __init__(self) -> None:
        self.now: float = 100

    def boot_clock_s(self) -> float:
        return self.now


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Return the clock that the module reads."""
    created = Clock()
    monkeypatch.setattr(module, 'boot_clock_s', created.boot_clock_s)
    return created


def _find(
    origins: StreamOrigins,
    listed: Mapping[str, frozenset[str]],
    attempt_id: str = 'a',
    services: tuple[str, ...] = ('lm',),
) -> StreamOrigin:
    return origins.find(
        request_id='r',
        attempt_id=attempt_id,
        services=services,
        listed=listed,
    )


def test_only_version_began_every_stream(clock: Clock) -> None:
    origins = StreamOrigins(MemoryStore(), Versions())
    origins.update({'lm': ['v1']}, _MEMBERS, clock.now)
    assert _find(origins, _ONE) == _V1
    assert _find(origins, _ONE, attempt_id='') == _V1


@pytest.mark.parametrize('versions', [['v1', 'v2'], ['v2']])
def test_unrecorded_stream_of_several_versions_is_refused(
    clock: Clock, versions: list[str]
) -> None:
    origins = StreamOrigins(MemoryStore(), Versions())
    origins.update({'lm': versions}, _MEMBERS, clock.now)
    with pytest.raises(StreamOriginUnknownError):
        _find(origins, _ONE)


def test_host_that_knows_no_leader_yet_refuses(clock: Clock) -> None:
    with pytest.raises(StreamOriginUnknownError):
        _find(StreamOrigins(MemoryStore(), Versions()), _ONE)


def test_host_without_recent_sync_refuses(clock: Clock) -> None:
    """Another host may have begun streams at a version not seen here."""
    origins = StreamOrigins(MemoryStore(), Versions())
    origins.update({'lm': ['v1']}, _MEMBERS, clock.now)
    clock.now += 4
    with pytest.raises(StreamOriginUnknownError):
        _find(origins, _ONE)


@pytest.mark.parametrize('age_s', [0.01, 0.5, 2.9, 4])
def test_versions_read_before_the_request_do_not_decide(
    clock: Clock, age_s: float
) -> None:
    """Guards against a gateway that was out of step for a moment.

    Another gateway has begun the stream at a version that joined meanwhile.
    """
    store = MemoryStore()
    origins = StreamOrigins(store, Versions(_BOTH))
    origins.update({'lm': ['v1']}, _MEMBERS, clock.now)
    clock.now += age_s
    with pytest.raises(StreamOriginUnknownError):
        _find(origins, _ONE)
    store.origins['a'] = _V2
    assert _find(origins, _ONE) == _V2


def test_only_version_confirmed_after_the_request_decides(
    clock: Clock,
) -> None:
    versions = Versions(_ONE)
    origins = StreamOrigins(MemoryStore(), versions)
    origins.update({'lm': ['v1']}, _MEMBERS, clock.now)
    clock.now += 4
    assert _find(origins, _ONE) == _V1
    assert versions.reads == [clock.now]


def test_sync_after_the_request_needs_no_other_read(clock: Clock) -> None:
    versions = Versions()
    origins = StreamOrigins(MemoryStore(), versions)
    origins.update({'lm': ['v1']}, _MEMBERS, clock.now)
    assert _find(origins, _ONE) == _V1
    assert not versions.reads


def test_version_listed_here_counts_though_it_is_not_committed(
    clock: Clock,
) -> None:
    origins = StreamOrigins(MemoryStore(), Versions(_ONE))
    origins.update({'lm': ['v1']}, _MEMBERS, clock.now - 1)
    with pytest.raises(StreamOriginUnknownError):
        _find(origins, _BOTH)


def test_stream_of_two_services_needs_a_record(clock: Clock) -> None:
    origins = StreamOrigins(MemoryStore(), Versions())
    origins.update({'lm': ['v1'], 'b': ['v1']}, _MEMBERS, clock.now)
    with pytest.raises(StreamOriginUnknownError):
        _find(origins, _ONE, services=('lm', 'b'))


def test_record_outlives_the_gateway_that_made_it(clock: Clock) -> None:
    store = MemoryStore()
    first = StreamOrigins(store, Versions())
    first.update({'lm': ['v1', 'v2']}, _MEMBERS, clock.now)
    first.record(['', 'a'], _V1)
    first.store_new(_BOTH)
    second = StreamOrigins(store, Versions())
    second.update({'lm': ['v1', 'v2']}, _MEMBERS, clock.now)
    assert _find(second, _BOTH) == _V1


def test_streams_begun_before_a_release_are_recorded_as_it_starts(
    clock: Clock,
) -> None:
    store = MemoryStore()
    origins = StreamOrigins(store, Versions())
    origins.update({'lm': ['v1']}, _MEMBERS, clock.now)
    origins.record(['a'], _V1)
    origins.store_new(_ONE)
    assert not store.origins
    origins.store_new(_BOTH)
    assert store.origins == {'a': _V1}


def test_record_that_was_not_stored_is_sent_again(clock: Clock) -> None:
    store = MemoryStore()
    origins = StreamOrigins(store, Versions())
    origins.update({'lm': ['v1', 'v2']}, _MEMBERS, clock.now)
    origins.record(['a'], _V1)
    store.is_available = False
    origins.store_new(_BOTH)
    assert not store.origins
    store.is_available = True
    origins.store_new(_BOTH)
    assert store.origins == {'a': _V1}


def test_long_attempt_ids_are_found_and_kept_as_short_keys() -> None:
    """Guards against records that are as large as a client likes."""
    store = MemoryStore()
    origins = StreamOrigins(store, Versions())
    attempt_id = 'a' * 60_000
    origins.record(
        [attempt_id], StreamOrigin(service='lm', software_version='1')
    )
    origins.store_new({'lm': frozenset(('1', '2'))})
    assert max(map(len, store.origins)) <= 128
    found = origins.find(
        request_id='r',
        attempt_id=bounded_identifier(attempt_id),
        services=['lm'],
        listed={'lm': frozenset(('1', '2'))},
    )
    assert found.software_version == '1'
