"""Loads and unloads models and adapters on engines."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, Any

from apricotcart.codec.record import Record
from apricotcart.provisioning.api import LeaderTask
from apricotcart.provisioning.proposals import set_status

if TYPE_CHECKING:
    from apricotcart.provisioning.api import Answer, EndpointResource, FleetView
    from apricotcart.provisioning.authority import Authority
    from apricotcart.provisioning.backoff import KeyedBackoff
    from apricotcart.provisioning.outbox import Outbox

READ_INTERVAL_S = 5.0
# An engine that ignores the fencing token also executes commands of a previous
# holder. The additional wait covers commands that a paused predecessor still
# sends after a pause of up to this length, but not after a longer one.
UNFENCED_WAIT_S = 10.0
# Separates the base model from the adapter in the name of an adapter.
ADAPTER_SEPARATOR = ':'


class LoadingRule(Record):
    """Bounds on the loading of models.

    Attributes
    ----------
    rate : float
        Loads per second that the weight store can serve.
    burst : float
        Loads that may start at once after an idle period.
    at_once : int
        Loads that may run at the same time.
    timeout_s : float
        Time in seconds after which a load that has not completed is
        repeated.
    """

    __slots__ = ('at_once', 'burst', 'rate', 'timeout_s')

    def __init__(
        self,
        *,
        rate: float = 0.5,
        burst: float = 2,
        at_once: int = 8,
        timeout_s: float = 300,
    ) -> None:
        self.rate = rate
        self.burst = burst
        self.at_once = at_once
        self.timeout_s = timeout_s


class ModelLoader(LeaderTask):
    """Reconciles the models of each engine with its resource.

    The models that an engine has are read from it. Missing models are loaded
    within the rate of the weight store, those on the fewest engines first,
    and surplus models are unloaded. Commands are repeated until the engine
    lists their effect, so the effect of a late command of an earlier holder
    is corrected.

    Parameters
    ----------
    rule : LoadingRule
        Bounds on loads.
    fleet_view : FleetView
        Endpoint resources with the models they are to have.
    authority : Authority
        Provides the fencing token.
    outbox : Outbox
        Queue of outgoing commands.
    backoff : KeyedBackoff
        Back-off after failed commands, by endpoint.
    """

    __slots__ = (
        '_load_tokens',
        '_refilled_at',
        '_authority',
        '_backoff',
        '_awaiting_answer',
        '_fleet_view',
        '_load_deadlines',
        '_next_read_at',
        '_outbox',
        '_rule',
        '_models',
        '_reported_unfenced',
    )

    def __init__(
        self,
        rule: LoadingRule,
        fleet_view: FleetView,
        authority: Authority,
        outbox: Outbox,
        backoff: KeyedBackoff,
    ) -> None:
        self._rule = rule
        self._fleet_view = fleet_view
        self._authority = authority
        self._outbox = outbox
        self._backoff = backoff
        self._models: dict[str, set[str]] = {}
        self._next_read_at: dict[str, float] = {}
        self._load_deadlines: dict[tuple[str, str], float] = {}
        self._awaiting_answer: set[str] = set()
        self._reported_unfenced: set[str] = set()
        self._load_tokens = rule.burst
        self._refilled_at: float | None = None

    def reset(self) -> None:
        """Discard the models read and the work in progress.

        The token bucket starts empty, since the predecessor may have used
        its tokens.
        """
        self._models.clear()
        self._next_read_at.clear()
        self._load_deadlines.clear()
        self._awaiting_answer.clear()
        self._reported_unfenced.clear()
        self._backoff.clear()
        self._load_tokens = 0
        self._refilled_at = None

    def tick(self, now: float) -> None:
        """Read the models of engines that are due, and send commands."""
        self._refill(now)
        engines = [
            resource
            for resource in self._fleet_view.endpoints()
            if resource.spec['models'] and not resource.spec['leaving']
        ]
        for engine in engines:
            self._read_if_due(now, engine)
            self._report_unfenced(engine)
        for engine, model in self._missing_models(engines):
            self._load_if_allowed(now, engine, model)
        for engine in engines:
            self._unload_surplus(now, engine)

    def unfenced_endpoints(self) -> list[str]:
        """Return the names of the endpoints that ignore the fencing token."""
        return sorted(
            resource.name
            for resource in self._fleet_view.endpoints()
            if not resource.spec['checks_fencing']
        )

    def _refill(self, now: float) -> None:
        elapsed_s = 0 if self._refilled_at is None else now - self._refilled_at
        refilled = self._load_tokens + elapsed_s * self._rule.rate
        self._load_tokens = min(refilled, self._rule.burst)
        self._refilled_at = now

    def _missing_models(
        self,
        engines: list[EndpointResource],
    ) -> list[tuple[EndpointResource, str]]:
        copies: Counter[str] = Counter()
        for models in self._models.values():
            copies.update(models)
        # An engine whose models were not read yet counts as complete.
        missing = [
            (engine, model)
            for engine in engines
            for model in engine.spec['models']
            if model not in self._models.get(engine.name, (model,))
        ]
        # The sort is stable, which keeps a base model before its adapters.
        return sorted(missing, key=lambda load: copies[load[1]])

    def _load_if_allowed(
        self,
        now: float,
        engine: EndpointResource,
        model: str,
    ) -> None:
        key = (engine.name, model)
        is_running = now < self._load_deadlines.get(key, now)
        if is_running or not self._may_command(now, engine):
            return
        running = sum(
            deadline > now for deadline in self._load_deadlines.values()
        )
        if self._load_tokens < 1 or running >= self._rule.at_once:
            return
        self._load_tokens -= 1
        self._load_deadlines[key] = now + self._rule.timeout_s
        self._command(engine, 'load', model)

    def _unload_surplus(self, now: float, engine: EndpointResource) -> None:
        surplus = self._models.get(engine.name, set()).difference(
            engine.spec['models'],
        )
        for model in sorted(surplus):
            if self._may_command(now, engine):
                self._command(engine, 'unload', model)

    def _may_command(self, now: float, engine: EndpointResource) -> bool:
        if engine.name in self._awaiting_answer:
            return False
        if self._backoff.is_backing_off(now, engine.name):
            return False
        return self._authority.is_active(now, _extra_wait_s(engine))

    def _command(
        self,
        engine: EndpointResource,
        action: str,
        model: str,
    ) -> None:
        self._awaiting_answer.add(engine.name)
        action_suffix = '_adapter' if ADAPTER_SEPARATOR in model else ''
        self._outbox.send(
            lambda now, answer: self._on_answer(now, engine, model, answer),
            url=engine.spec['url'],
            path='/orders',
            extra_wait_s=_extra_wait_s(engine),
            body={
                'fencing': self._authority.fencing_token,
                'holder': self._authority.holder,
                'action': f'{action}{action_suffix}',
                'model': model,
            },
        )

    def _on_answer(
        self,
        now: float,
        engine: EndpointResource,
        model: str,
        answer: Answer,
    ) -> None:
        # The next read shows whether an unanswered command took effect.
        self._next_read_at[engine.name] = now
        self._models.pop(engine.name, None)
        self._awaiting_answer.discard(engine.name)
        if answer.is_ok:
            self._backoff.record_success(engine.name)
            return
        self._backoff.record_failure(now, engine.name)
        self._load_deadlines.pop((engine.name, model), None)

    def _read_if_due(self, now: float, engine: EndpointResource) -> None:
        if now < self._next_read_at.get(engine.name, now):
            return
        self._next_read_at[engine.name] = now + READ_INTERVAL_S
        self._outbox.send(
            lambda _, answer: self._on_models(engine.name, answer),
            url=engine.spec['url'],
            path='/v1/models',
            method='GET',
            body={},
            fenced=False,
        )

    def _on_models(self, name: str, answer: Answer) -> None:
        if not answer.is_ok or name in self._awaiting_answer:
            return
        models: list[dict[str, Any]] = answer.body.get('data', [])
        self._models[name] = {model['id'] for model in models}
        for model in self._models[name]:
            self._load_deadlines.pop((name, model), None)

    def _report_unfenced(self, engine: EndpointResource) -> None:
        name = engine.name
        if engine.spec['checks_fencing'] or name in self._reported_unfenced:
            return
        self._reported_unfenced.add(name)
        self._outbox.propose(
            set_status('endpoint', name, {'fencing': 'ignored'}),
            lambda _, reply: (
                None if reply else self._reported_unfenced.discard(name)
            ),
        )


def _extra_wait_s(engine: EndpointResource) -> float:
    return 0 if engine.spec['checks_fencing'] else UNFENCED_WAIT_S
