"""Checks of the guarantees after every scenario."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from prove.calls import Callers, Outcome


class History:
    """Compares answers to callers and operators with the actual events."""

    def __init__(self, callers: Callers, secrets: Iterable[str]) -> None:
        self._callers = callers
        self._standins = callers.cluster.standin_addresses
        self._secrets = list(secrets)

    def violations(self, outcomes: list[Outcome]) -> list[str]:
        """Return a message for each violation of a guarantee."""
        writes = [outcome for outcome in outcomes if outcome.kind == 'write']
        orders = [outcome for outcome in outcomes if outcome.kind == 'order']
        chats = [
            outcome
            for outcome in outcomes
            if outcome.kind in {'chat', 'stream'}
        ]
        return [
            *self._lost_writes(writes),
            *self._order_violations(orders),
            *self._chat_violations(chats),
            *self._platform_violations(),
            *self._leaked_keys(),
        ]

    def _lost_writes(self, writes: list[Outcome]) -> Iterable[str]:
        """Check that the last acknowledged write of each resource is stored."""
        last: dict[str, tuple[int, Any]] = {}
        in_doubt: dict[str, list[Any]] = defaultdict(list)
        changes = [
            (write, change)
            for write in writes
            for change in write.fields['changes']
        ]
        for write, change in changes:
            path = f'{change["kind"]}/{change["name"]}'
            if write.status == 200:
                acknowledged = (write.fields['revision'], change['spec'])
                last[path] = max(
                    last.get(path, acknowledged), acknowledged, key=_revision
                )
            elif write.status <= 0:
                in_doubt[path].append(change['spec'])
        for path, (revision, spec) in last.items():
            reply = self._callers.operator('GET', f'/v1/resources/{path}')
            stored_spec = reply.json().get('spec', {})
            possible = [spec, *in_doubt[path]]
            if not any(
                _contains(stored_spec, possible_spec)
                for possible_spec in possible
            ):
                yield f'write {revision} of {path} is lost: {stored_spec}'

    def _order_violations(self, orders: list[Outcome]) -> Iterable[str]:
        counts = self.counts()
        for key, count in counts.items():
            if count > 1:
                yield f'order {key} ran {count} times'
        orders_by_key: dict[str, list[Outcome]] = defaultdict(list)
        for order in orders:
            orders_by_key[f'{order.fields["customer"]}/{order.subject}'].append(
                order
            )
        for key, answers in orders_by_key.items():
            yield from _contradictions(key, answers, counts.get(key, 0))

    def _chat_violations(self, chats: list[Outcome]) -> Iterable[str]:
        bodies = [
            entry['body']
            for name in self._standins
            if name.startswith('engine')
            for entry in self._received(name)
        ]
        for chat in chats:
            if chat.status == 200 and not (chat.is_whole or chat.error):
                yield f'incomplete answer: {chat.summary()} {chat.text}'
            if not chat.is_expected_prefix:
                yield f'answer of another request: {chat.summary()} {chat.text}'
            if _ran_despite_not_run(chat, bodies):
                yield f'answered not_run, but it ran: {chat.summary()}'

    def _platform_violations(self) -> Iterable[str]:
        records = self.platform_records()
        highest = 0
        for record in records:
            if record['fencing'] < highest:
                yield f'fencing number {record["fencing"]} after {highest}'
            highest = max(highest, record['fencing'])
        figures: dict[Any, set[Any]] = defaultdict(set)
        for report in _reports(records):
            window = (report['customer'], report['window'])
            figures[window].add(_usage_figures(report))
        for window, reported in figures.items():
            if len(reported) > 1:
                yield f'window {window} was reported as {reported}'

    def platform_records(self) -> list[Any]:
        """Return all requests that the platform received, oldest first."""
        address = self._standins.get('platform')
        if address is None:
            return []
        url = address.url
        orders = self._callers.get(f'{url}/endpoints/orders')['orders']
        usage = self._callers.get(f'{url}/usage')['usage']
        return sorted([*orders, *usage], key=lambda record: record['at'])

    def _leaked_keys(self) -> Iterable[str]:
        for name in self._standins:
            received = str(self._received(name))
            for secret in self._secrets:
                if secret in received:
                    yield f'{name} received a caller key'

    def _received(self, name: str) -> Any:
        if not self._callers.cluster.children[name].is_running():
            return []
        url = self._standins[name].url
        return self._callers.get(f'{url}/received')['received']

    def counts(self) -> dict[str, int]:
        """Return the number of times that the services ran each order."""
        counts: dict[str, int] = {}
        for name, address in self._standins.items():
            is_running = self._callers.cluster.children[name].is_running()
            if name.startswith('service') and is_running:
                counts.update(
                    self._callers.get(f'{address.url}/counts')['counts']
                )
        return counts


def _contradictions(
    key: str, answers: list[Outcome], count: int
) -> Iterable[str]:
    states = {answer.error.get('run_state') for answer in answers}
    if any(answer.status == 200 for answer in answers):
        if count != 1:
            yield f'order {key} was answered and ran {count} times'
        if not any(
            success.is_whole for success in answers if success.status == 200
        ):
            yield f'order {key} got the answer of another order'
    elif states == {'not_run'} and count:
        yield f'order {key} ran, but every answer was not_run'


def _ran_despite_not_run(chat: Outcome, bodies: list[str]) -> bool:
    answered_not_run = chat.error.get('run_state') == 'not_run'
    return answered_not_run and any(
        f'"{chat.subject}"' in body for body in bodies
    )


def _reports(records: list[Any]) -> list[Any]:
    return [record for record in records if 'window' in record]


def _usage_figures(record: Any) -> tuple[Any, ...]:
    return tuple(record[key] for key in ('tokens_in', 'tokens_out', 'calls'))


def _contains(stored: Any, spec: Any) -> bool:
    return all(stored.get(key) == spec[key] for key in spec)


def _revision(pair: tuple[int, Any]) -> int:
    return pair[0]
