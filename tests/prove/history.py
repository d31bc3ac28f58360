"""Checks that must hold after every scenario."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import Any

from prove.calls import Callers, Outcome


class History:
    """What callers and operators were told, against what happened."""

    def __init__(self, callers: Callers, secrets: Iterable[str]) -> None:
        """Keep the cluster and the callers' keys."""
        self._callers = callers
        self._sites = callers.cluster.standins
        self._secrets = list(secrets)

    def faults(self, outcomes: list[Outcome]) -> list[str]:
        """Give everything that contradicts a guarantee."""
        writes = [each for each in outcomes if each.kind == 'write']
        orders = [each for each in outcomes if each.kind == 'order']
        chats = [each for each in outcomes if each.kind in {'chat', 'stream'}]
        return [
            *self._lost_writes(writes),
            *self._wrong_orders(orders),
            *self._run_after_all(chats),
            *self._platform_faults(),
            *self._seen_keys(),
        ]

    def _lost_writes(self, writes: list[Outcome]) -> Iterable[str]:
        """Read back the last acknowledged write of each resource."""
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
                held = (write.fields['revision'], change['spec'])
                last[path] = max(last.get(path, held), held, key=_first)
            elif write.status <= 0:
                in_doubt[path].append(change['spec'])
        for path, (revision, spec) in last.items():
            reply = self._callers.operator('GET', f'/v1/resources/{path}')
            held_spec = reply.json().get('spec', {})
            possible = [spec, *in_doubt[path]]
            if not any(_holds(held_spec, each) for each in possible):
                yield f'write {revision} of {path} is lost: {held_spec}'

    def _wrong_orders(self, orders: list[Outcome]) -> Iterable[str]:
        counts = self.counts()
        for key, count in counts.items():
            if count > 1:
                yield f'order {key} ran {count} times'
        told: dict[str, list[Outcome]] = defaultdict(list)
        for order in orders:
            told[f'{order.fields["customer"]}/{order.subject}'].append(order)
        for key, answers in told.items():
            yield from _untrue(key, answers, counts.get(key, 0))

    def _run_after_all(self, chats: list[Outcome]) -> Iterable[str]:
        bodies = [
            entry['body']
            for name in self._sites
            if name.startswith('engine')
            for entry in self._received(name)
        ]
        for chat in chats:
            if chat.status == 200 and not (chat.is_whole or chat.error):
                yield f'not the whole answer: {chat.summary()} {chat.text}'
            if not chat.is_own:
                yield f'the answer of another: {chat.summary()} {chat.text}'
            if _is_untrue(chat, bodies):
                yield f'said not_run, but it ran: {chat.summary()}'

    def _platform_faults(self) -> Iterable[str]:
        records = self.platform_records()
        highest = 0
        for record in records:
            if record['fencing'] < highest:
                yield f'from holder {record["fencing"]} after {highest}'
            highest = max(highest, record['fencing'])
        figures: dict[Any, set[Any]] = defaultdict(set)
        for report in _reports(records):
            window = (report['customer'], report['window'])
            figures[window].add(_figure(report))
        for window, reported in figures.items():
            if len(reported) > 1:
                yield f'window {window} was reported as {reported}'

    def platform_records(self) -> list[Any]:
        """Give all requests that the platform received, oldest first."""
        site = self._sites.get('platform')
        if site is None:
            return []
        url = site.url
        orders = self._callers.get(f'{url}/endpoints/orders')['orders']
        usage = self._callers.get(f'{url}/usage')['usage']
        return sorted([*orders, *usage], key=lambda record: record['at'])

    def _seen_keys(self) -> Iterable[str]:
        for name in self._sites:
            received = str(self._received(name))
            for secret in self._secrets:
                if secret in received:
                    yield f'{name} received a caller key'

    def _received(self, name: str) -> Any:
        if not self._callers.cluster.children[name].is_running():
            return []
        url = self._sites[name].url
        return self._callers.get(f'{url}/received')['received']

    def counts(self) -> dict[str, int]:
        """Give how often the services ran each order."""
        counts: dict[str, int] = {}
        for name, site in self._sites.items():
            is_running = self._callers.cluster.children[name].is_running()
            if name.startswith('service') and is_running:
                counts.update(self._callers.get(f'{site.url}/counts')['counts'])
        return counts


def _untrue(key: str, answers: list[Outcome], count: int) -> Iterable[str]:
    states = {answer.error.get('run_state') for answer in answers}
    if any(answer.status == 200 for answer in answers):
        if count != 1:
            yield f'order {key} was answered and ran {count} times'
        if not any(each.is_whole for each in answers if each.status == 200):
            yield f'order {key} got the answer of another'
    elif states == {'not_run'} and count:
        yield f'order {key} ran, but every answer said not_run'


def _is_untrue(chat: Outcome, bodies: list[str]) -> bool:
    said_not_run = chat.error.get('run_state') == 'not_run'
    return said_not_run and any(f'"{chat.subject}"' in body for body in bodies)


def _reports(records: list[Any]) -> list[Any]:
    return [record for record in records if 'window' in record]


def _figure(record: Any) -> tuple[Any, ...]:
    return tuple(record[key] for key in ('tokens_in', 'tokens_out', 'calls'))


def _holds(held: Any, spec: Any) -> bool:
    return all(held.get(key) == spec[key] for key in spec)


def _first(pair: tuple[int, Any]) -> int:
    return pair[0]
