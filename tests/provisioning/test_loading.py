"""Tests of engine commands against simulated engines."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
from platform_world import FakeState

from apricotcart.provisioning.api import (
    NO_ANSWER,
    Answer,
    EndpointResource,
    LeaseSource,
    Request,
)
from apricotcart.provisioning.authority import Authority
from apricotcart.provisioning.backoff import KeyedBackoff
from apricotcart.provisioning.leader import LeaderDuties
from apricotcart.provisioning.loading import LoadingRule, ModelLoader
from apricotcart.provisioning.outbox import Outbox

if TYPE_CHECKING:
    from collections.abc import Callable

    Refusal = Callable[[Request], Answer | None]


class EndlessLease(LeaseSource):
    """A lease that never ends."""

    def lease_expires_at(self) -> float:
        """Return the end of the lease."""
        return 1e9

    def term(self) -> int:
        """Return the term of the lease."""
        return 1


class Engines:
    """Simulated engines with models, controlled by `ModelLoader`."""

    def __init__(self, amount: int, *, checks_fencing: bool = True) -> None:
        """Create engines that are to have a model and an adapter."""
        self.now: float = 0
        self.state = FakeState()
        self.models: dict[str, set[str]] = {}
        self.commands: list[tuple[float, Request]] = []
        self.refuse: Refusal = lambda _: None
        for number in range(amount):
            name = f'e{number}'
            self.models[name] = set()
            spec = {
                'url': name,
                'models': ['m', 'm:a'],
                'leaving': False,
                'checks_fencing': checks_fencing,
            }
            self.state.resources[name] = EndpointResource(
                name=name, version=1, spec=spec
            )
        outbox = Outbox()
        authority = Authority('c1', EndlessLease(), outbox)
        self.loading = ModelLoader(
            LoadingRule(rate=1, burst=2),
            self.state,
            authority,
            outbox,
            KeyedBackoff(1, 8, random.Random(1)),
        )
        self.duties = LeaderDuties(authority, outbox, [self.loading])

    def run(self, duration_s: int) -> None:
        """Run in steps of a quarter of a second."""
        for _ in range(duration_s * 4):
            self.now += 0.25
            self.duties.tick(self.now)
            for proposal in self.duties.take_proposals():
                reply = self.state.commit(proposal.command)
                self.duties.on_reply(self.now, proposal.ticket, reply)
            for request in self.duties.take_requests():
                answer = self._answer(request)
                self.duties.on_answer(self.now, request.ticket, answer)

    def _answer(self, request: Request) -> Answer:
        assert self.duties.deadline_for(self.now, request)
        models = self.models[request.url]
        if request.method == 'GET':
            listed = [{'id': name} for name in sorted(models)]
            return Answer(status=200, body={'data': listed})
        self.commands.append((self.now, request))
        refused = self.refuse(request)
        if refused:
            return refused
        if request.body['action'].startswith('load'):
            models.add(request.body['model'])
        else:
            models.discard(request.body['model'])
        return Answer(status=200)


def test_loading_completes() -> None:
    """Guards against missing models and loads above the allowed rate."""
    engines = Engines(5)
    engines.run(60)
    assert all(models == {'m', 'm:a'} for models in engines.models.values())
    times = [at for at, _ in engines.commands]
    assert len(times) == 10
    for index, started in enumerate(times):
        in_window = sum(at < started + 4 for at in times[index:])
        # A burst of 2, and one load per second in the window of 4 s.
        assert in_window <= 2 + 4


def test_loading_spreads_models() -> None:
    """Guards against loading one model everywhere before any other."""
    engines = Engines(5)
    engines.run(7)
    first = [request.body['model'] for _, request in engines.commands[:3]]
    assert set(first) == {'m', 'm:a'}


def test_loading_unloads() -> None:
    """Guards against removed models that still occupy memory."""
    engines = Engines(1)
    engines.models['e0'] = {'m', 'm:a', 'old', 'old:b'}
    engines.run(20)
    assert engines.models['e0'] == {'m', 'm:a'}
    actions = {request.body['action'] for _, request in engines.commands}
    assert actions == {'unload', 'unload_adapter'}


@pytest.mark.parametrize(('checks', 'earliest'), [(True, 3), (False, 13)])
def test_loading_ignored_fencing(checks: bool, earliest: int) -> None:
    """Guards against commands that overlap with those of an old holder."""
    engines = Engines(1, checks_fencing=checks)
    engines.run(60)
    assert engines.commands[0][0] >= earliest
    assert bool(engines.loading.unfenced_endpoints()) != checks
    assert ('e0' in engines.state.statuses) != checks


def test_loading_backs_off() -> None:
    """Guards against commands in rapid succession to a failing engine."""
    engines = Engines(1)
    engines.refuse = lambda _: Answer(code=NO_ANSWER)
    engines.run(100)
    assert 2 < len(engines.commands) < 40


def test_loading_refused_token() -> None:
    """Guards against a holder that continues after a newer one was seen."""
    engines = Engines(1)
    engines.refuse = lambda _: Answer(status=409, code='stale_fencing')
    engines.run(60)
    assert len(engines.commands) == 1
    assert not engines.duties.fencing_token
