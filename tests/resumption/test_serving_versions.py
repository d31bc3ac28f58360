"""Guards against versions that are forgotten while they have streams."""

from __future__ import annotations

from apricotcart.endpoints.instances import Instance
from apricotcart.resumption.origins import RETENTION_S
from apricotcart.resumption.serving_versions import (
    VersionTracker,
    listed_versions,
)

_ONE = {'lm': frozenset(('v1',))}
_BOTH = {'lm': frozenset(('v1', 'v2'))}
_NEW = {'lm': frozenset(('v2',))}


def test_draining_endpoint_counts() -> None:
    instance = Instance(
        instance_id='i',
        service='lm',
        address='a:1',
        zone='z',
        slots=1,
        is_ready=False,
        software_version='v1',
    )
    assert listed_versions([instance]) == _ONE


def test_new_version_is_added_at_once() -> None:
    assert VersionTracker().next_versions(0, _BOTH, _ONE) == _BOTH


def test_absent_version_is_kept_as_long_as_its_streams() -> None:
    tracker = VersionTracker()
    assert tracker.next_versions(0, _NEW, _BOTH) == _BOTH
    assert tracker.next_versions(RETENTION_S - 1, _NEW, _BOTH) == _BOTH
    assert tracker.next_versions(RETENTION_S, _NEW, _BOTH) == _NEW


def test_rolled_back_version_starts_anew() -> None:
    tracker = VersionTracker()
    tracker.next_versions(0, _NEW, _BOTH)
    tracker.next_versions(RETENTION_S - 1, _BOTH, _BOTH)
    tracker.next_versions(RETENTION_S, _NEW, _BOTH)
    assert tracker.next_versions(RETENTION_S + 1, _NEW, _BOTH) == _BOTH


def test_new_leader_measures_the_time_anew() -> None:
    tracker = VersionTracker()
    tracker.next_versions(0, _NEW, _BOTH)
    tracker.reset()
    assert tracker.next_versions(RETENTION_S, _NEW, _BOTH) == _BOTH


def test_empty_list_removes_nothing_at_once() -> None:
    assert VersionTracker().next_versions(0, {}, _BOTH) == _BOTH
