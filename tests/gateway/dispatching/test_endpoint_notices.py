"""Guards against outdated words of an endpoint about itself."""

from __future__ import annotations

from apricotcart.gateway.api import EndpointNotice
from apricotcart.gateway.dispatching.endpoint_notices import EndpointNotices


def test_response_to_an_earlier_request_changes_nothing() -> None:
    """Responses overtake each other on different connections."""
    notices = EndpointNotices()
    assert notices.apply(EndpointNotice(limit_per_s=1), 20, 20)
    assert not notices.apply(EndpointNotice(limit_per_s=9), 10, 10)
    assert not notices.apply(EndpointNotice(), 10, 10)
    assert notices.limit_per_s == 1


def test_limit_ends_with_a_response_without_one() -> None:
    notices = EndpointNotices()
    notices.apply(EndpointNotice(limit_per_s=1), 10, 10)
    assert notices.apply(EndpointNotice(), 11, 11)
    assert notices.limit_per_s is None


def test_unreadable_limit_leaves_the_last_one() -> None:
    notices = EndpointNotices()
    notices.apply(EndpointNotice(limit_per_s=1), 10, 10)
    assert not notices.apply(EndpointNotice(is_limit_unreadable=True), 11, 11)
    assert notices.limit_per_s == 1


def test_pause_is_not_shortened_by_a_later_word() -> None:
    """Answers to requests that were on their way say less."""
    notices = EndpointNotices()
    assert notices.apply(EndpointNotice(pause_s=4), 10, 10)
    notices.apply(EndpointNotice(pause_s=1), 10, 11)
    notices.apply(EndpointNotice(), 10, 12)
    assert notices.pause_left_s(12) == 2
    assert notices.pause_left_s(20) == 0


def test_rejections_follow_the_response_to_the_latest_request() -> None:
    """Guards against a late answer that begins or ends the word again."""
    notices = EndpointNotices()
    assert notices.apply(EndpointNotice(rejections_per_s=3), 10, 10)
    assert not notices.apply(EndpointNotice(), 9, 11)
    assert notices.rejections_per_s == 3
    assert notices.apply(EndpointNotice(), 12, 12)
    assert notices.rejections_per_s is None
    assert not notices.apply(EndpointNotice(rejections_per_s=3), 11, 13)
    assert notices.rejections_per_s is None


def test_unreadable_rejections_leave_the_last_ones() -> None:
    notices = EndpointNotices()
    notices.apply(EndpointNotice(rejections_per_s=3), 10, 10)
    damaged = EndpointNotice(is_rejections_unreadable=True)
    assert not notices.apply(damaged, 11, 11)
    assert notices.rejections_per_s == 3


def test_unreadable_limit_does_not_hide_rejections() -> None:
    notices = EndpointNotices()
    notices.apply(
        EndpointNotice(is_limit_unreadable=True, rejections_per_s=2), 10, 10
    )
    assert notices.rejections_per_s == 2
