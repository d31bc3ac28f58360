"""Schemas of the resource kinds."""

from __future__ import annotations

from collections.abc import Mapping
from types import MappingProxyType
from typing import Final

from apricotcart.state.fields import (
    NAME_PATTERN,
    SHA256_PATTERN,
    Choice,
    Flag,
    Integer,
    Number,
    Text,
    Url,
)
from apricotcart.state.reference_fields import Reference, ReferenceList
from apricotcart.state.schema import Schema

MAX_MODELS_PER_ENDPOINT: Final = 64
MAX_CUSTOMERS_PER_ROUTE: Final = 4096
MAX_STATUS_BYTES: Final = 4096
_MAX_TIER: Final = 5
_MAX_MIN_SHARE: Final = 0.5
_SECONDS_PER_DAY: Final = 86400.0
_CUSTOMER: Final = 'customer'
_MODEL: Final = 'model'


def _seconds() -> Number:
    return Number(excludes_low=True, high=_SECONDS_PER_DAY)


def _name() -> Text:
    return Text(pattern=NAME_PATTERN)


#: Schemas by kind; each kind refers only to kinds before it.
SPECS: Final[Mapping[str, Schema]] = MappingProxyType(
    {
        _CUSTOMER: Schema({'weight': Number(excludes_low=True)}),
        'key': Schema(
            {
                _CUSTOMER: Reference(_CUSTOMER),
                'sha256': Text(pattern=SHA256_PATTERN),
                'withdrawn': Flag(default=False),
            },
        ),
        'class': Schema(
            {
                'tier': Integer(high=_MAX_TIER),
                'first_token_s': _seconds(),
                'between_tokens_s': _seconds(),
                'total_s': _seconds(),
                'max_wait_s': _seconds(),
                'min_share': Number(high=_MAX_MIN_SHARE, default=0),
            },
        ),
        _MODEL: Schema({'context_tokens': Integer(low=1)}),
        'pool': Schema(
            {
                'kind': Choice('engine', 'service'),
                'max_queue': Integer(low=1),
                # Maximum number of endpoints ordered from the platform. With
                # 0, the operators declare all endpoints of the pool.
                'max_endpoints': Integer(default=0),
                'min_endpoints': Integer(default=0),
                'endpoint_slots': Integer(low=1, default=8),
                'endpoint_checks_fencing': Flag(default=False),
                'endpoint_models': ReferenceList(
                    _MODEL,
                    max_names=MAX_MODELS_PER_ENDPOINT,
                ),
            },
        ),
        'endpoint': Schema(
            {
                'pool': Reference('pool'),
                'url': Url(),
                'zone': _name(),
                'slots': Integer(low=1),
                'cheap': Flag(default=False),
                'checks_fencing': Flag(default=False),
                'leaving': Flag(default=False),
                'models': ReferenceList(
                    _MODEL,
                    max_names=MAX_MODELS_PER_ENDPOINT,
                ),
            },
        ),
        'route': Schema(
            {
                'kind': Choice('chat', 'service'),
                'class': Reference('class'),
                'pool': Reference('pool'),
                _MODEL: Reference(_MODEL, optional=True),
                'public': Flag(default=False),
                'idempotent': Flag(),
                'customers': ReferenceList(
                    _CUSTOMER,
                    max_names=MAX_CUSTOMERS_PER_ROUTE,
                ),
            },
        ),
    },
)
