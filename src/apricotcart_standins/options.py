"""Command line of the stand-ins."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import TypeAlias

_NumericOption: TypeAlias = tuple[str, Callable[[str], float], float, str]

_ENGINE_OPTIONS: tuple[_NumericOption, ...] = (
    ('--slots', int, 8, 'maximum number of concurrent requests'),
    (
        '--first-token-s',
        float,
        0.05,
        'time to the first token excluding prefill, seconds',
    ),
    ('--prompt-rate', float, 8000, 'uncached prompt tokens per second'),
    (
        '--interval-s',
        float,
        0.02,
        'inter-token latency of one request, seconds',
    ),
    (
        '--batch-slowdown',
        float,
        0.02,
        'fraction of --interval-s added per other request',
    ),
    ('--token-rate', float, 0, 'tokens per second of the batch; 0: no limit'),
    ('--load-lag-s', float, 0.5, 'age of the load report, seconds'),
    ('--load-s', float, 1, 'time to load a model, seconds'),
    ('--cache-blocks', int, 512, 'prefix cache size in blocks of 16 tokens'),
    ('--cache-event-delay-s', float, 1, 'delay of cache events, seconds'),
    ('--cache-event-gap', float, 0, 'probability that a cache event is lost'),
    ('--resume-keep-s', float, 30, 'time a stream stays resumable, seconds'),
    ('--seed', int, 1, 'random seed for lost cache events'),
)

_SERVICE_OPTIONS: tuple[_NumericOption, ...] = (
    ('--answer-s', float, 0, 'time to answer a request, seconds'),
)

_PLATFORM_OPTIONS: tuple[_NumericOption, ...] = (
    ('--capacity', int, 100, 'regular endpoints per zone'),
    ('--cheap-capacity', int, 20, 'spot endpoints per zone'),
    ('--price', float, 1, 'price of a regular endpoint per hour'),
    ('--cheap-price', float, 0.3, 'price of a spot endpoint per hour'),
    ('--start-delay-s', float, 2, 'time until an endpoint runs, seconds'),
    ('--host-lag-s', float, 2, 'lag of the host list, seconds'),
    ('--weight-rate', float, 1, 'weight downloads per second'),
    ('--weight-burst', float, 2, 'weight downloads that may start at once'),
    ('--weight-bytes', int, 65536, 'size of a weight download in bytes'),
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of ``python -m apricotcart_standins``."""
    parser = argparse.ArgumentParser(
        prog='apricotcart_standins',
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    kinds = parser.add_subparsers(dest='kind', required=True)
    _add_engine_options(_add_subparser(kinds, 'engine'))
    _add_numeric_options(_add_subparser(kinds, 'service'), _SERVICE_OPTIONS)
    _add_platform_options(_add_subparser(kinds, 'platform'))
    _add_relay_options(_add_subparser(kinds, 'relay'))
    return parser


def control_port(options: argparse.Namespace) -> int:
    """Return the port of the HTTP server; for a relay the control port."""
    port: int = getattr(options, 'control_port', options.port)
    return port


def _add_subparser(
    kinds: argparse._SubParsersAction[argparse.ArgumentParser],
    name: str,
) -> argparse.ArgumentParser:
    parser = kinds.add_parser(
        name,
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    parser.add_argument('--host', default='127.0.0.1', help='loopback address')
    parser.add_argument('--port', type=int, default=0, help='0: a free port')
    return parser


def _add_numeric_options(
    parser: argparse.ArgumentParser,
    numeric_options: tuple[_NumericOption, ...],
) -> None:
    for name, convert, default, help_text in numeric_options:
        parser.add_argument(name, type=convert, default=default, help=help_text)


def _add_engine_options(parser: argparse.ArgumentParser) -> None:
    _add_numeric_options(parser, _ENGINE_OPTIONS)
    parser.add_argument('--models', default='chat', help='comma-separated')
    parser.add_argument(
        '--weight-store',
        default='',
        help='base URL of the platform from which weights are fetched',
    )
    _add_fencing_option(parser)


def _add_platform_options(parser: argparse.ArgumentParser) -> None:
    _add_numeric_options(parser, _PLATFORM_OPTIONS)
    parser.add_argument('--zones', default='a,b,c,d', help='comma-separated')
    parser.add_argument(
        '--urls',
        default='',
        help='comma-separated base URLs assigned to endpoints in turn',
    )
    _add_fencing_option(parser)


def _add_relay_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--target', required=True, help='host:port')
    parser.add_argument(
        '--control-port',
        type=int,
        default=0,
        help='port of POST /relay on the same address; 0: a free port',
    )


def _add_fencing_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--ignore-fencing',
        action='store_true',
        help='accept requests with a stale fencing token',
    )
