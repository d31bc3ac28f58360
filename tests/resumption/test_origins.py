"""Guards against records of streams that are lost or grow without bound."""

from __future__ import annotations

import pytest

from apricotcart.resumption import origins as origins_module
from apricotcart.resumption.origins import (
    RETENTION_S,
    OriginTable,
    StreamOrigin,
)

_ORIGIN = StreamOrigin(service='lm', software_version='v1')


def test_record_is_kept_while_its_stream_may_be_resumed() -> None:
    table = OriginTable()
    table.add(0, 'a', _ORIGIN)
    assert table.find(RETENTION_S, 'a') == _ORIGIN
    assert table.find(RETENTION_S + 1, 'a') is None
    assert not len(table)


def test_resumed_stream_is_kept_longer() -> None:
    table = OriginTable()
    table.add(0, 'a', _ORIGIN)
    table.add(RETENTION_S, 'a', _ORIGIN)
    assert table.find(RETENTION_S + 1, 'a') == _ORIGIN


def test_table_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(origins_module, 'MAX_ORIGINS', 3)
    table = OriginTable()
    for number in range(9):
        table.add(number, f'a{number}', _ORIGIN)
    assert len(table) == 3
    assert table.find(9, 'a8') == _ORIGIN


def test_record_is_unstored_until_it_is_marked() -> None:
    table = OriginTable()
    table.add(0, 'a', _ORIGIN)
    assert table.unstored(0, ['lm']) == {'a': _ORIGIN}
    assert not table.unstored(0, ['other'])
    table.mark_stored(['a', 'unknown'])
    assert not table.unstored(0, ['lm'])
