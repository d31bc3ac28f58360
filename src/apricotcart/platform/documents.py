"""Decoder of the documents in which operators declare the desired state."""

from __future__ import annotations

from typing import Final

import orjson

from apricotcart.desired.api import DocumentFormat
from apricotcart.desired.checks import find_faults
from apricotcart.desired.errors import invalid_state_error
from apricotcart.desired.records import (
    CallerLimits,
    Customer,
    DesiredState,
    Engine,
    Scaling,
    Service,
)
from apricotcart.platform.fields import FieldReader
from apricotcart.platform.routes import parse_route

_MS_PER_S: Final = 1000
# Limits on callers if a document has none.
_DEFAULT_HEADER_BYTES: Final = 16_384
_DEFAULT_BODY_BYTES: Final = 4_194_304
_DEFAULT_HEADER_TIMEOUT_MS: Final = 3000
_DEFAULT_IDLE_TIMEOUT_MS: Final = 15_000


class PlatformDocumentFormat(DocumentFormat):
    """Decodes JSON documents with the platform's field names."""

    def decode(self, blob: bytes) -> DesiredState:
        """Return the desired state that a document declares."""
        try:
            fields = orjson.loads(blob)
        except orjson.JSONDecodeError as exc:
            raise invalid_state_error(
                [f'the document is not JSON: {exc}']
            ) from exc
        reader = FieldReader(fields, '')
        state = _parse_state(reader)
        faults = reader.faults
        if not faults:
            faults = find_faults(state)
        if faults:
            raise invalid_state_error(faults)
        return state


def _parse_state(reader: FieldReader) -> DesiredState:
    # The platform calls customers tenants.
    customers = None
    if reader.has('tenants'):
        customers = [
            _parse_customer(entry) for entry in reader.entries('tenants')
        ]
    return DesiredState(
        version=reader.integer('version'),
        routes=[parse_route(entry) for entry in reader.entries('routes')],
        services=[
            _parse_service(entry) for entry in reader.entries('services')
        ],
        limits=_parse_limits(reader.table('limits')),
        customers=customers,
    )


def _parse_limits(reader: FieldReader) -> CallerLimits:
    header_timeout_ms = reader.number(
        'header_timeout_ms', _DEFAULT_HEADER_TIMEOUT_MS
    )
    idle_timeout_ms = reader.number('idle_timeout_ms', _DEFAULT_IDLE_TIMEOUT_MS)
    return CallerLimits(
        header_bytes=reader.integer('max_header_bytes', _DEFAULT_HEADER_BYTES),
        body_bytes=reader.integer('max_body_bytes', _DEFAULT_BODY_BYTES),
        header_timeout_s=header_timeout_ms / _MS_PER_S,
        idle_timeout_s=idle_timeout_ms / _MS_PER_S,
    )


def _parse_customer(reader: FieldReader) -> Customer:
    return Customer(
        name=reader.text('name'),
        keys=reader.strings('api_keys'),
        priority=reader.optional_integer('priority'),
    )


def _parse_service(reader: FieldReader) -> Service:
    return Service(
        name=reader.text('name'),
        health_path=reader.text('health_path', '/healthz'),
        max_conns=reader.optional_integer('max_conns'),
        engine=_parse_engine(reader) if reader.has('engine') else None,
        scaling=_parse_scaling(reader) if reader.has('scaling') else None,
        cold_s=max(0, reader.number('warmup_s', 0)),
        cold_per_s=max(0, reader.number('warmup_per_s', 0)),
    )


def _parse_engine(reader: FieldReader) -> Engine:
    engine = reader.table('engine')
    return Engine(
        slots=engine.integer('slots'),
        kv_tokens=engine.integer('kv_capacity'),
    )


def _parse_scaling(reader: FieldReader) -> Scaling:
    scaling = reader.table('scaling')
    # 'spot_price' is a fraction of the regular price.
    has_spot = scaling.has('spot_price')
    return Scaling(
        least=scaling.integer('min'),
        most=scaling.integer('max'),
        boot_s=scaling.number('boot_s', 0),
        spot_share=scaling.number('spot_price') if has_spot else None,
        zone_prices=scaling.numbers('zone_prices'),
    )
