"""Starts a cluster, sends a chat request and an order, and stops it."""

from __future__ import annotations

import hashlib
import json
import secrets
import sys
import tempfile
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path
from typing import Any

from apricotcart.run import run
from support.cluster import Cluster
from support.processes import wait_until

CHAT_CLASS = {
    'tier': 0,
    'first_token_s': 0.64,
    'between_tokens_s': 0.047,
    'total_s': 60,
    'max_wait_s': 10,
    'min_share': 0,
}
BOOKING_CLASS = {**CHAT_CLASS, 'tier': 1, 'total_s': 30}


def declare(cluster: Cluster, secret: str, engine_slots: int) -> Any:
    """Declare a customer, key, classes, pools, endpoints and routes."""
    digest = hashlib.sha256(secret.encode()).hexdigest()
    engines = [
        _endpoint(cluster, name, 'drafting', engine_slots, ['writer'])
        for name in cluster.standin_addresses
        if name.startswith('engine')
    ]
    services = [
        _endpoint(cluster, name, 'press-room', 4, [])
        for name in cluster.standin_addresses
        if name.startswith('service')
    ]
    return cluster.apply(
        ('customer', 'guild', {'weight': 1}),
        ('key', 'guild-key', {'customer': 'guild', 'sha256': digest}),
        ('class', 'drafts', CHAT_CLASS),
        ('class', 'bookings', BOOKING_CLASS),
        ('model', 'writer', {'context_tokens': 8192}),
        ('pool', 'drafting', {'kind': 'engine', 'max_queue': 200}),
        ('pool', 'press-room', {'kind': 'service', 'max_queue': 200}),
        *engines,
        *services,
        ('route', 'draft', _route('chat', 'drafts', 'drafting', 'writer')),
        ('route', 'dies', _route('service', 'bookings', 'press-room')),
    )


def _endpoint(
    cluster: Cluster,
    name: str,
    pool: str,
    slots: int,
    models: list[str],
) -> tuple[str, str, dict[str, Any]]:
    spec = {
        'pool': pool,
        'url': cluster.standin_addresses[name].url,
        'zone': 'zone-a',
        'slots': slots,
        'models': models,
    }
    return ('endpoint', name, spec)


def _route(
    kind: str,
    service_class: str,
    pool: str,
    model: str = '',
) -> dict[str, Any]:
    spec = {
        'kind': kind,
        'class': service_class,
        'pool': pool,
        'public': False,
        'idempotent': kind == 'chat',
        'customers': [],
    }
    if model:
        spec['model'] = model
    return spec


def start(
    folder: Path,
    *,
    engine_options: Sequence[str] = (),
    engine_slots: int = 8,
    **options: Any,
) -> tuple[Cluster, str]:
    """Start a cluster with stand-ins and a declared configuration."""
    cluster = Cluster(folder, **options)
    secret = secrets.token_urlsafe()
    try:
        _start_all(cluster, secret, engine_options, engine_slots)
    except BaseException:
        cluster.stop()
        raise
    return cluster, secret


def _start_all(
    cluster: Cluster,
    secret: str,
    engine_options: Sequence[str],
    engine_slots: int,
) -> None:
    for number in (1, 2):
        cluster.start_standin(
            f'engine-{number}',
            'engine',
            '--models=writer',
            *engine_options,
        )
    cluster.start_standin('service-1', 'service')
    cluster.start()
    declare(cluster, secret, engine_slots)
    wait_until(
        lambda: all(
            serves_route(cluster, name, secret)
            for name in cluster.entry_addresses
        ),
        'the configuration on every entry host',
    )


def serves_route(cluster: Cluster, entry: str, secret: str) -> bool:
    """Return whether an entry host serves the declared route."""
    reply = cluster.http.request(
        'GET',
        f'{cluster.entry_addresses[entry].url}/v1/models',
        headers={'Authorization': f'Bearer {secret}'},
        timeout=5,
    )
    return reply.status == 200 and bool(reply.json()['data'])


def main() -> int:
    """Run the demonstration."""
    with tempfile.TemporaryDirectory(prefix='apricotcart-demo-') as name:
        folder = Path(name)
        cluster, secret = start(folder)
        with ExitStack() as stack:
            stack.callback(cluster.stop)
            _demonstrate(cluster, secret)
            codes = {
                entry: cluster.children[entry].stop()
                for entry in cluster.entry_addresses
            }
        _print_json('entry hosts stopped with exit codes', codes)
        _print_trace(folder / 'spans.jsonl')
    return 0 if set(codes.values()) == {0} else 1


def _demonstrate(cluster: Cluster, secret: str) -> None:
    first = next(iter(cluster.entry_addresses.values()))
    hosts = _fetch_hosts(cluster, first.url)
    _print_json('hosts to use', hosts)
    url = hosts['hosts'][0]
    headers = {'Authorization': f'Bearer {secret}'}
    chat = cluster.http.request(
        'POST',
        f'{url}/v1/chat/completions',
        json={
            'model': 'draft',
            'messages': [{'role': 'user', 'content': 'A motto for the guild'}],
            'max_tokens': 12,
        },
        headers=headers,
    )
    _print_json('chat answer', chat.json())
    order = cluster.http.request(
        'POST',
        f'{url}/v1/services/dies/bookings',
        json={'die': 'oak-leaf', 'run': 40},
        headers={**headers, 'Idempotency-Key': 'booking-1'},
    )
    _print_json('order answer', order.json())


def _fetch_hosts(cluster: Cluster, url: str) -> Any:
    """Fetch the host list; a new leader first needs reports of the hosts."""
    answers: list[Any] = []

    def answered() -> bool:
        answers.append(cluster.http.request('GET', f'{url}/v1/hosts'))
        return bool(answers[-1].status == 200)

    wait_until(answered, 'the list of entry hosts')
    return answers[-1].json()


def _print_trace(path: Path) -> None:
    spans = [json.loads(line) for line in path.read_text().splitlines()]
    trace_id = next(
        span['context']['trace_id']
        for span in spans
        if span['name'] == 'service'
    )
    sys.stdout.write('one trace, a span for each hop:\n')
    sys.stdout.flush()
    run(['trace', '--file', str(path), trace_id.removeprefix('0x')])


def _print_json(title: str, content: Any) -> None:
    sys.stdout.write(f'{title}: {json.dumps(content, indent=2)}\n')


if __name__ == '__main__':
    sys.exit(main())
