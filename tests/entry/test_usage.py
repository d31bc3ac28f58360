"""Tests of usage counts and batches with failures."""

from __future__ import annotations

from typing import Any

import pytest
from entry.fakes import LOST, EntryHarness, FakeControl, GrantOnlyContext

from apricotcart.entry.control_link import ControlLink
from apricotcart.entry.usage import UsageCounter, UsageSender


def _sender(counter: UsageCounter, control: FakeControl) -> UsageSender:
    return UsageSender(counter, ControlLink({'c1': control}), 'e1', 7)


def test_lost_batch_is_resent_unchanged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against figures counted twice or sent in two batches."""
    monkeypatch.setattr('apricotcart.entry.usage._SEND_TIMEOUT_S', 0.1)
    counter = UsageCounter(1e9)
    control = FakeControl(LOST)
    sender = _sender(counter, control)
    counter.count_answer(GrantOnlyContext('guild'), {'completion_tokens': 3})
    assert not sender.flush()
    counter.count_answer(GrantOnlyContext('guild'), {'completion_tokens': 4})
    control.answers = [{'ok': True}]
    assert sender.flush()
    assert sender.flush()
    assert sender.flush()
    batches = control.commands('usage_add')
    assert all(batch == batches[0] for batch in batches[:-1])
    sent: list[Any] = [batches[0], batches[-1]]
    assert [batch['seq'] for batch in sent] == [1, 2]
    tokens = [batch['figures'][0]['tokens_out'] for batch in sent]
    assert tokens == [3, 4]


@pytest.mark.parametrize(
    'reported',
    [None, 7, {}, {'completion_tokens': None}, {'completion_tokens': -1}],
)
def test_invalid_engine_figures(reported: Any) -> None:
    """Guards against an error, or a negative count, from invalid figures."""
    counter = UsageCounter(1e9)
    counter.count_stream(GrantOnlyContext('guild'), reported, 5)
    assert list(counter.pop_figures().values()) == [[0, 5, 1]]


def test_public_call_is_not_counted(harness: EntryHarness) -> None:
    """Guards against usage figures without a customer."""
    harness.usage.count_call(GrantOnlyContext(''))
    assert not harness.usage.pop_figures()
