"""Checks of the ``expect`` lines of scenarios."""

from __future__ import annotations

import time
from collections.abc import Callable

from prove.calls import Outcome
from prove.history import History
from prove.language import ScenarioError, Step
from prove.world import GUILD, World

_POLL_S = 0.02
_DEFAULT_WITHIN_S = 8.0
_HTTP_TIMEOUT_S = 2.0


class Expectations:
    """The checks by kind of ``expect``."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._kinds: dict[str, Callable[[Step], None]] = {
            'one-of': self._one_of,
            'count': self._count,
            'refused': self._refused,
            'served': self._served,
            'in-force': self._in_force,
            'write': self._write,
            'platform': self._platform,
            'usage': self._usage,
            'received': self._received,
            'voters': self._voters,
            'all': self._all,
            'some': self._some,
            'bounded': self._bounded,
            'alive': self._alive,
            'arrived': self._arrived,
        }

    def expect(self, step: Step) -> None:
        """Check one expectation.

        Raises
        ------
        ScenarioError
            If it does not hold.
        """
        kind = self._kinds.get(step.words[0], self._call)
        kind(step)

    def _call(self, step: Step) -> None:
        """Compare named calls with their expected answers."""
        for name in step.words:
            outcome = self._world.outcome(name)
            for field, text in step.options.items():
                _check_field(outcome, field, text)

    def _all(self, step: Step) -> None:
        """Compare all calls that were started under one name."""
        found = self._series(step.words[1])
        for outcome in found:
            for field, text in step.options.items():
                _check_field(outcome, field, text)
        self._world.figures.append(f'{len(found)} {step.words[1]} as expected')

    def _some(self, step: Step) -> None:
        """Require a minimum of calls under one name with a status."""
        found = self._series(step.words[1])
        status = step.options['status']
        count = [str(outcome.status) for outcome in found].count(status)
        self._world.figures.append(
            f'{count} of {len(found)} {step.words[1]} with {status}'
        )
        if count < int(step.options['min']):
            raise ScenarioError(f'only {count} calls had status {status}')

    def _bounded(self, step: Step) -> None:
        """Limit the duration of every call under one name."""
        found = self._series(step.words[1])
        longest_s = max(
            outcome.ended_at - outcome.started_at for outcome in found
        )
        self._world.figures.append(f'longest wait {longest_s:.2f} s')
        if longest_s > _time_limit_s(step):
            raise ScenarioError(f'the longest call took {longest_s:.2f} s')

    def _alive(self, step: Step) -> None:
        """Require a minimum of running stand-ins of a kind."""
        children = self._world.cluster.children
        alive = [
            name
            for name, child in children.items()
            if name.startswith(step.words[1]) and child.is_running()
        ]
        self._world.figures.append(f'{len(alive)} {step.words[1]}s alive')
        if len(alive) < int(step.options['min']):
            raise ScenarioError(f'too few stand-ins run: {alive}')

    def _arrived(self, step: Step) -> None:
        """Wait until a stand-in has begun to receive a POST to a path."""
        url = f'{self._world.url(step.words[1])}/received'
        path = step.options['path']
        self._world.fault_at = time.monotonic()
        self._wait_for(
            step,
            lambda: any(
                entry['method'] == 'POST' and entry['path'] == path
                for entry in self._world.callers.get(url)['received']
            ),
        )

    def _series(self, name: str) -> list[Outcome]:
        """Return all calls that were started under one name."""
        for call_thread in self._world.call_threads:
            call_thread.join()
        members = [
            key
            for key in list(self._world.named_outcomes)
            if key == name or key.removeprefix(f'{name}/') != key
        ]
        return [self._world.outcome(member) for member in members]

    def _one_of(self, step: Step) -> None:
        outcomes = [self._world.outcome(name) for name in step.words[1:]]
        succeeded = [outcome for outcome in outcomes if outcome.status == 200]
        if len(succeeded) != 1:
            summaries = [outcome.summary() for outcome in outcomes]
            raise ScenarioError(
                f'{len(succeeded)} calls succeeded, expected 1: {summaries}'
            )
        self._add_figure('winner', succeeded[0].subject, 0)

    def _count(self, step: Step) -> None:
        """Compare the number of times that the services ran an order."""
        key, expected = step.words[1:]
        counts = History(self._world.callers, []).counts()
        found = counts.get(f'{GUILD}/{key}', 0)
        if found != int(expected):
            raise ScenarioError(
                f'the order ran {found} times, expected {expected}'
            )
        self._world.figures.append(f'{key} ran {found} times')

    def _refused(self, step: Step) -> None:
        """Wait until every entry host, or those named, refuse a key."""
        secret = self._world.secret(step.words[1])

        def is_refused() -> bool:
            return all(self._status(name, secret) == 401 for name in hosts)

        hosts = step.words[2:] or list(self._world.cluster.entry_addresses)
        self._add_figure(
            'refused after', step, self._wait_for(step, is_refused)
        )

    def _served(self, step: Step) -> None:
        """Wait until every entry host, or those named, serve a key."""
        secret = self._world.secret(step.words[1])
        hosts = step.words[2:] or list(self._world.cluster.entry_addresses)
        self._wait_for(
            step,
            lambda: all(self._status(name, secret) == 200 for name in hosts),
        )

    def _in_force(self, step: Step) -> None:
        """Wait until every entry host, or those named, list a route."""
        secret = self._world.secret(GUILD)
        hosts = step.words[2:] or list(self._world.cluster.entry_addresses)
        self._add_figure(
            'in force after',
            step,
            self._wait_for(
                step,
                lambda: all(
                    f'"{step.words[1]}"' in self._models(name, secret)
                    for name in hosts
                ),
            ),
        )

    def _write(self, step: Step) -> None:
        """Measure the time from the last fault to an accepted write."""
        world = self._world
        customer = f'probe-{len(world.outcomes)}'
        change = {
            'kind': 'customer',
            'name': customer,
            'expected_version': 0,
            'spec': {'weight': 1},
        }
        outcome = Outcome('write', customer, {'changes': [change]})
        world.start_call(outcome, world.callers.write, '')
        took_s = outcome.ended_at - world.fault_at
        self._add_figure('write accepted after', step, took_s)
        if outcome.status != 200 or took_s > _time_limit_s(step):
            raise ScenarioError(
                f'the write took {took_s:.2f} s: {outcome.summary()}'
            )

    def _platform(self, step: Step) -> None:
        """Wait for accepted requests of ``holders`` fencing numbers."""

        def holders() -> int:
            records = History(world.callers, []).platform_records()
            return len(
                {
                    record['fencing']
                    for record in records
                    if record['status'] == 200
                }
            )

        world = self._world
        expected = int(step.options['holders'])
        self._wait_for(step, lambda: holders() >= expected)
        world.figures.append(f'{holders()} holders in order')

    def _usage(self, step: Step) -> None:
        """Wait for ``min`` reported calls and allow at most ``max``."""
        low = int(step.options['min'])
        high = int(step.options['max'])
        self._wait_for(step, lambda: self._calls() >= low)
        calls = self._calls()
        self._world.figures.append(f'{calls} of {high} calls reported')
        if calls > high:
            raise ScenarioError(
                f'{calls} calls were reported, expected at most {high}'
            )

    def _calls(self) -> int:
        records = History(self._world.callers, []).platform_records()
        windows = {
            (record['customer'], record['window']): int(record['calls'])
            for record in records
            if 'window' in record and record['status'] == 200
        }
        return sum(windows.values())

    def _received(self, step: Step) -> None:
        """Check that a stand-in received no work after a limit."""
        url = self._world.url(step.words[1])
        received = self._world.callers.get(f'{url}/received')['received']
        fault_at = time.time() - (time.monotonic() - self._world.fault_at)
        within = float(step.options['within'])
        work = [
            entry['at'] - fault_at
            for entry in received
            if entry['method'] == 'POST' and entry['path'] != '/orders'
        ]
        late = [at for at in work if at > within]
        last = max((at for at in work if at > 0), default=0)
        self._world.figures.append(f'last new work after {last:.2f} s')
        if late:
            raise ScenarioError(
                f'{len(late)} calls arrived after {within} s: {late[:5]}'
            )

    def _voters(self, step: Step) -> None:
        """Wait until all control hosts vote under their present identities."""

        def has_joined() -> bool:
            voters = world.cluster.request_as_operator('GET', '/v1/status')
            found = voters['members']['voters']
            return len(found) == len(
                world.cluster.control_addresses
            ) and not any(old in found for old in step.words[1:])

        world = self._world
        self._wait_for(step, has_joined)
        self._world.figures.append('the new identity votes')

    def _status(self, entry: str, secret: str) -> int:
        reply = self._world.callers.http.request(
            'GET',
            f'{self._world.url(entry)}/v1/models',
            headers={'Authorization': f'Bearer {secret}'},
            timeout=_HTTP_TIMEOUT_S,
        )
        return int(reply.status)

    def _models(self, entry: str, secret: str) -> str:
        reply = self._world.callers.http.request(
            'GET',
            f'{self._world.url(entry)}/v1/models',
            headers={'Authorization': f'Bearer {secret}'},
            timeout=_HTTP_TIMEOUT_S,
        )
        return reply.data.decode()

    def _wait_for(self, step: Step, condition: Callable[[], bool]) -> float:
        """Wait for a condition and return the seconds since the last change."""
        since = self._world.fault_at
        while not condition():
            if time.monotonic() - since > _time_limit_s(step):
                raise ScenarioError('the condition was not met in time')
            time.sleep(_POLL_S)
        return time.monotonic() - since

    def _add_figure(self, what: str, step: Step | str, took_s: float) -> None:
        if isinstance(step, Step):
            self._world.figures.append(f'{what} {took_s:.2f} s')
        else:
            self._world.figures.append(f'{what} {step}')


def _time_limit_s(step: Step) -> float:
    return float(step.options.get('within', _DEFAULT_WITHIN_S))


def _check_field(outcome: Outcome, field: str, text: str) -> None:
    found = _field_value(outcome, field)
    if field == 'tokens_under':
        matches = outcome.tokens < int(text)
    else:
        matches = found in text.split(',')
    if not matches:
        raise ScenarioError(f'{field} is {found}: {outcome.summary()}')


def _field_value(outcome: Outcome, field: str) -> str:
    known = {
        'status': str(outcome.status),
        'whole': 'yes' if outcome.is_whole else 'no',
        'tokens_under': str(outcome.tokens),
    }
    return known.get(field, str(outcome.error.get(field)))
