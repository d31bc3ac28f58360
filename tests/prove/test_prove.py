"""Tests of the scenario language, its checks and the shortest scenarios."""

from __future__ import annotations

from typing import Any

import pytest
from support.cluster import ProcessAddress

from prove.calls import Outcome
from prove.guarantees import GUARANTEES
from prove.history import History
from prove.language import ScenarioError, parse_steps, read_scenario
from prove.runner import Runner


class FakeCallers:
    """Fake answers of the stand-ins and of the operators' interface."""

    def __init__(self) -> None:
        """Start with one order that ran once."""
        self.cluster = self
        self.standin_addresses: dict[str, Any] = {
            name: ProcessAddress('127.0.0.1')
            for name in ('service-1', 'platform')
        }
        self.children = dict.fromkeys(self.standin_addresses, self)
        self.documents: dict[str, Any] = {
            'counts': {'counts': {'guild/k': 1}},
            'received': {'received': []},
            'orders': {'orders': []},
            'usage': {'usage': []},
        }
        self.spec: dict[str, Any] = {'weight': 2}

    def is_running(self) -> bool:
        """Return True, since every stand-in runs."""
        return True

    def get(self, url: str) -> Any:
        """Return the document named by the last part of the path."""
        return self.documents[url.rpartition('/')[2]]

    def operator(self, method: str, path: str) -> FakeCallers:
        """Return an answer with the resource."""
        return self

    def json(self) -> Any:
        """Return the resource."""
        return {'spec': self.spec}


@pytest.fixture
def callers() -> Any:
    """Provide answers without a violation."""
    return FakeCallers()


def _outcome(kind: str, subject: str, status: int, **error: Any) -> Outcome:
    outcome = Outcome(kind, subject, {'customer': 'guild'})
    outcome.status = status
    outcome.error = error
    outcome.is_whole = status == 200
    return outcome


def _write(weight: int, revision: int) -> Outcome:
    outcome = _outcome('write', 'customer/x', 200)
    change = {'kind': 'customer', 'name': 'x', 'spec': {'weight': weight}}
    outcome.fields = {'changes': [change], 'revision': revision}
    return outcome


def _usage(fencing: int, calls: int) -> dict[str, Any]:
    return {
        'fencing': fencing,
        'at': calls,
        'customer': 'guild',
        'window': 1,
        'tokens_in': 0,
        'tokens_out': 0,
        'calls': calls,
    }


def test_parse_lines() -> None:
    """Guards against steps that are parsed differently from their text."""
    steps = parse_steps(
        '# why\nat 2.5 cut e1 c2\n\nwait 0.5..2\nchat e1 prompt="a b"'
    )
    assert [str(step) for step in steps] == [
        'cut e1 c2',
        'wait 0.5..2',
        'chat e1 prompt=a b',
    ]
    assert [step.at_s for step in steps] == [2.5, None, None]
    assert [step.line for step in steps] == [2, 4, 5]


def test_parse_unknown_verb() -> None:
    """Guards against a misspelt fault that is silently skipped."""
    with pytest.raises(ScenarioError):
        parse_steps('kil c1')


def test_scenarios_well_formed() -> None:
    """Guards against a guarantee whose scenario cannot be read."""
    for guarantee in GUARANTEES:
        for name in guarantee.scenarios:
            verbs = [step.verb for step in read_scenario(name)]
            assert verbs[:3] == ['guarantee', 'fault', 'start']


def test_history_clean(callers: Any) -> None:
    """Guards against checks that report correct histories."""
    outcomes = [_write(1, 4), _write(2, 5), _outcome('order', 'k', 200)]
    assert not History(callers, ['secret']).violations(outcomes)


@pytest.mark.parametrize(
    ('outcome', 'document', 'content', 'message'),
    [
        (_write(3, 6), 'counts', {'counts': {}}, 'is lost'),
        (_outcome('order', 'k', 200), 'counts', {'counts': {}}, 'ran 0'),
        (
            _outcome('order', 'k', 0),
            'counts',
            {'counts': {'guild/k': 2}},
            'ran 2 times',
        ),
        (
            _outcome('order', 'k', 503, run_state='not_run'),
            'counts',
            {'counts': {'guild/k': 1}},
            'every answer was not_run',
        ),
        (
            _write(2, 6),
            'usage',
            {'usage': [_usage(2, 1), _usage(1, 2)]},
            'after 2',
        ),
        (
            _write(2, 6),
            'usage',
            {'usage': [_usage(1, 1), _usage(1, 2)]},
            'was reported as',
        ),
        (
            _write(2, 6),
            'received',
            {'received': ['Bearer secret']},
            'received a caller key',
        ),
    ],
)
def test_history_faults(
    callers: Any,
    outcome: Outcome,
    document: str,
    content: Any,
    message: str,
) -> None:
    """Guards against a check that passes when its guarantee is broken."""
    callers.documents[document] = content
    violations = History(callers, ['secret']).violations([outcome])
    assert any(message in violation for violation in violations)


def test_history_untrue_chat(callers: Any) -> None:
    """Guards against a chat that ran although its answer was not_run."""
    callers.standin_addresses['engine-1'] = ProcessAddress('127.0.0.1')
    callers.children['engine-1'] = callers
    body = '{"messages":[{"role":"user","content":"a prompt"}]}'
    callers.documents['received'] = {'received': [{'body': body}]}
    chat = _outcome('chat', 'a prompt', 503, run_state='not_run')
    violations = History(callers, []).violations([chat])
    assert violations == [f'answered not_run, but it ran: {chat.summary()}']


@pytest.mark.xdist_group('cluster')
@pytest.mark.parametrize('name', ['order-host-killed', 'key-cut'])
def test_scenario(name: str) -> None:
    """Guards against scenarios that no longer match the product."""
    result = Runner(read_scenario(name), seed=1).run()
    assert not result.failures
