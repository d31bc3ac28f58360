"""Guards against one damaged entry that hides others of the list."""

from __future__ import annotations

from typing import Any

import orjson
import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from apricotcart.platform.instance_pages import InstancePage
from apricotcart.provisioning.fleet_api import PlatformUnavailableError

_ENTRY = {
    'id': 'other',
    'service': 'pressroom',
    'address': '10.0.0.1:80',
    'tags': ['a', {'deep': [1, 2]}],
    'state': 'ready',
    'slots': 4,
}
_TEXT = orjson.dumps(_ENTRY)
_SOUND = [{**_ENTRY, 'id': f'i-{number}'} for number in range(4)]


def _page(damaged: bytes, place: int, *, next_first: bool) -> bytes:
    texts = [orjson.dumps(entry) for entry in _SOUND]
    texts.insert(place, damaged)
    array = b'"instances": [' + b', '.join(texts) + b']'
    fields = [array, b'"next": "p-1"']
    if next_first:
        fields.reverse()
    return b'{' + b', '.join(fields) + b'}'


def _ids(page: InstancePage) -> list[Any]:
    return [
        entry.get('id')
        for entry in page.entries
        if isinstance(entry, dict) and set(entry) == set(_ENTRY)
    ]


def _require_sound(damaged: bytes, place: int, *, next_first: bool) -> None:
    body = _page(damaged, place, next_first=next_first)
    page = InstancePage.from_json(body)
    names = ['i-0', 'i-1', 'i-2', 'i-3']
    assert [name for name in _ids(page) if name in names] == names
    assert page.next_token == 'p-1'


@pytest.mark.parametrize('next_first', [False, True])
@pytest.mark.parametrize('place', range(5))
@pytest.mark.parametrize('length', range(1, len(_TEXT)))
def test_entry_that_is_cut_hides_no_other(
    length: int, place: int, next_first: bool
) -> None:
    _require_sound(_TEXT[:length], place, next_first=next_first)


@given(
    at=st.integers(0, len(_TEXT) - 1),
    inserted=st.binary(max_size=3),
    removed=st.integers(0, 3),
    place=st.integers(0, 4),
    next_first=st.booleans(),
)
def test_entry_with_any_damaged_bytes_hides_no_other(
    at: int, inserted: bytes, removed: int, place: int, next_first: bool
) -> None:
    damaged = _TEXT[:at] + inserted + _TEXT[at + removed :]
    # A comment or a second entry is no damage.
    assume(damaged.strip())
    _require_sound(damaged, place, next_first=next_first)


def test_two_entries_that_are_cut_hide_no_other() -> None:
    cut = b', '.join([_TEXT[:25], _TEXT[:40]])
    _require_sound(cut, 2, next_first=False)


@pytest.mark.parametrize('length', [10, 60, 200])
def test_page_that_is_cut_is_not_a_list(length: int) -> None:
    """Entries that are missing would look like endpoints that are gone."""
    body = _page(_TEXT[:30], 1, next_first=False)
    with pytest.raises(PlatformUnavailableError):
        InstancePage.from_json(body[:length])


def test_deeply_nested_damage_is_read_in_bounded_time() -> None:
    nested = b'{"a":' * 100_000
    _require_sound(nested, 0, next_first=False)
