"""Resources and commands of a cluster of a given size."""

from __future__ import annotations

import hashlib
from typing import Any, Final

from apricotcart.codec.packing import pack
from apricotcart.state.limits import WINDOW_MS

AT_MS: Final = 1_800_000_000_000
CLASSES: Final = 6
MODELS: Final = 15
ZONES: Final = 21
#: Orders of one customer, as of many small ones.
ORDERS_PER_CUSTOMER: Final = 100
FIGURES_PER_BATCH: Final = 10
_BODY_BYTES: Final = 200
BODY: Final = bytes(_BODY_BYTES)
_LOWEST_PORT: Final = 9000
_TIMES: Final = (
    ('first_token_s', 0.64),
    ('between_tokens_s', 0.047),
    ('total_s', 120),
    ('max_wait_s', 30),
)
_CONTEXT_TOKENS: Final = 8192
_SLOTS: Final = 16
_CREATED: Final = 201
_HASH_CHARS: Final = 64
_KEY_CHARS: Final = 36

Change = dict[str, Any]


def named(kind: str, number: int) -> str:
    """Give the name of the resource of a number."""
    return f'{kind}{number}'


def command(command_kind: str, **fields: Any) -> bytes:
    """Pack a command."""
    return pack({'kind': command_kind, 'at_ms': AT_MS, **fields})


def change(kind: str, number: int, spec: dict[str, Any]) -> Change:
    """Build a change of any version."""
    return {'kind': kind, 'name': named(kind, number), 'spec': spec}


def common() -> list[Change]:
    """Give classes, models, a pool and a route for each model."""
    changes = [
        change('class', number, {'tier': number, **dict(_TIMES)})
        for number in range(CLASSES)
    ]
    changes.append(change('pool', 0, {'kind': 'engine', 'max_queue': 100}))
    route = {
        'kind': 'chat',
        'class': named('class', 0),
        'pool': named('pool', 0),
        'idempotent': True,
    }
    for number in range(MODELS):
        model = change('model', number, {'context_tokens': _CONTEXT_TOKENS})
        changes.append(model)
        changes.append(
            change('route', number, {**route, 'model': model['name']})
        )
    return changes


def customers(count: int, *, weight: int = 1) -> list[Change]:
    """Give customers of one weight."""
    return [
        change('customer', number, {'weight': weight})
        for number in range(count)
    ]


def keys(count: int, *, withdrawn: bool = False) -> list[Change]:
    """Give a key for each customer."""
    return [
        change(
            'key',
            number,
            {
                'customer': named('customer', number),
                'sha256': hashlib.sha256(bytes(number)).hexdigest(),
                'withdrawn': withdrawn,
            },
        )
        for number in range(count)
    ]


def endpoints(count: int, *, leaving: bool = False) -> list[Change]:
    """Give endpoints in all zones, each with one model."""
    return [
        change(
            'endpoint',
            number,
            {
                'pool': named('pool', 0),
                'url': named('http://10.0.0.1:', _LOWEST_PORT + number),
                'zone': named('zone', number % ZONES),
                'slots': _SLOTS,
                'leaving': leaving,
                'models': [named('model', number % MODELS)],
            },
        )
        for number in range(count)
    ]


def order_begin(number: int) -> bytes:
    """Pack the begin of an order."""
    return command(
        'order_begin',
        body_hash=str(number).zfill(_HASH_CHARS),
        host='entry-host-1',
        incarnation=AT_MS,
        **_order(number),
    )


def order_finish(number: int) -> bytes:
    """Pack the finish of an order with a response of 200 bytes."""
    return command(
        'order_finish',
        result='done',
        status=_CREATED,
        content_type='application/json',
        body=BODY,
        **_order(number),
    )


def usage_add(seq: int) -> bytes:
    """Pack a batch of usage figures."""
    figures = [
        {
            'customer': named('customer', number),
            'window': AT_MS // WINDOW_MS,
            'tokens_in': 100,
            'tokens_out': 100,
            'calls': 1,
        }
        for number in range(FIGURES_PER_BATCH)
    ]
    return command(
        'usage_add',
        host='entry-host-1',
        incarnation=1,
        seq=seq,
        figures=figures,
    )


def _order(number: int) -> dict[str, str]:
    return {
        'customer': named('customer', number // ORDERS_PER_CUSTOMER),
        'idempotency_key': str(number).zfill(_KEY_CHARS),
        'attempt_id': str(number).zfill(_KEY_CHARS),
    }
