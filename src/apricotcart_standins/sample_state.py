"""Sample resources and commands for clusters of a given size."""

from __future__ import annotations

import hashlib
from typing import Any, Final

from apricotcart.codec.packing import pack
from apricotcart.state.limits import WINDOW_MS

AT_MS: Final = 1_800_000_000_000
CLASS_COUNT: Final = 6
MODEL_COUNT: Final = 15
ZONE_COUNT: Final = 21
#: Low, so that the orders come from many small customers.
ORDERS_PER_CUSTOMER: Final = 100
FIGURES_PER_BATCH: Final = 10
_RESPONSE_BODY_BYTES: Final = 200
RESPONSE_BODY: Final = bytes(_RESPONSE_BODY_BYTES)
_LOWEST_PORT: Final = 9000
_CLASS_TIMES: Final = (
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


def numbered_name(kind: str, number: int) -> str:
    """Return the name of the numbered resource of a kind."""
    return f'{kind}{number}'


def pack_command(command_kind: str, **fields: Any) -> bytes:
    """Pack a command for the state machine."""
    return pack({'kind': command_kind, 'at_ms': AT_MS, **fields})


def build_change(kind: str, number: int, spec: dict[str, Any]) -> Change:
    """Build a change without an expected version."""
    return {'kind': kind, 'name': numbered_name(kind, number), 'spec': spec}


def shared_resources() -> list[Change]:
    """Return classes, a pool, and models with a route each."""
    changes = [
        build_change('class', number, {'tier': number, **dict(_CLASS_TIMES)})
        for number in range(CLASS_COUNT)
    ]
    changes.append(
        build_change('pool', 0, {'kind': 'engine', 'max_queue': 100})
    )
    route = {
        'kind': 'chat',
        'class': numbered_name('class', 0),
        'pool': numbered_name('pool', 0),
        'idempotent': True,
    }
    for number in range(MODEL_COUNT):
        model = build_change(
            'model', number, {'context_tokens': _CONTEXT_TOKENS}
        )
        changes.append(model)
        changes.append(
            build_change('route', number, {**route, 'model': model['name']})
        )
    return changes


def build_customers(count: int, *, weight: int = 1) -> list[Change]:
    """Return customers of the same weight."""
    return [
        build_change('customer', number, {'weight': weight})
        for number in range(count)
    ]


def build_keys(count: int, *, withdrawn: bool = False) -> list[Change]:
    """Return one key per customer."""
    return [
        build_change(
            'key',
            number,
            {
                'customer': numbered_name('customer', number),
                'sha256': hashlib.sha256(bytes(number)).hexdigest(),
                'withdrawn': withdrawn,
            },
        )
        for number in range(count)
    ]


def build_endpoints(count: int, *, leaving: bool = False) -> list[Change]:
    """Return endpoints spread over all zones, with one model each."""
    return [
        build_change(
            'endpoint',
            number,
            {
                'pool': numbered_name('pool', 0),
                'url': numbered_name('http://10.0.0.1:', _LOWEST_PORT + number),
                'zone': numbered_name('zone', number % ZONE_COUNT),
                'slots': _SLOTS,
                'leaving': leaving,
                'models': [numbered_name('model', number % MODEL_COUNT)],
            },
        )
        for number in range(count)
    ]


def pack_order_begin(number: int) -> bytes:
    """Pack the command that begins an order."""
    return pack_command(
        'order_begin',
        body_hash=str(number).zfill(_HASH_CHARS),
        host='entry-host-1',
        incarnation=AT_MS,
        **_order_fields(number),
    )


def pack_order_finish(number: int) -> bytes:
    """Pack the command that finishes an order, with 200 bytes of body."""
    return pack_command(
        'order_finish',
        result='done',
        status=_CREATED,
        content_type='application/json',
        body=RESPONSE_BODY,
        **_order_fields(number),
    )


def pack_usage_add(seq: int) -> bytes:
    """Pack a command with a batch of usage figures."""
    figures = [
        {
            'customer': numbered_name('customer', number),
            'window': AT_MS // WINDOW_MS,
            'tokens_in': 100,
            'tokens_out': 100,
            'calls': 1,
        }
        for number in range(FIGURES_PER_BATCH)
    ]
    return pack_command(
        'usage_add',
        host='entry-host-1',
        incarnation=1,
        seq=seq,
        figures=figures,
    )


def _order_fields(number: int) -> dict[str, str]:
    return {
        'customer': numbered_name('customer', number // ORDERS_PER_CUSTOMER),
        'idempotency_key': str(number).zfill(_KEY_CHARS),
        'attempt_id': str(number).zfill(_KEY_CHARS),
    }
