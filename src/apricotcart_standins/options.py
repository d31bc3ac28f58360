"""Command line of the stand-ins."""

from __future__ import annotations

import argparse
from collections.abc import Callable
from typing import TypeAlias

_Number: TypeAlias = tuple[str, Callable[[str], float], float, str]

_ENGINE_NUMBERS: tuple[_Number, ...] = (
    ('--slots', int, 8, 'requests that run at the same time'),
    ('--first-token-s', float, 0.05, 'time to the first token, seconds'),
    ('--prompt-rate', float, 8000, 'uncached prompt tokens per second'),
    ('--interval-s', float, 0.02, 'time between tokens of a lone request'),
    ('--batch-slowdown', float, 0.02, 'longer interval per other request'),
    ('--token-rate', float, 0, 'tokens per second of the batch; 0: no limit'),
    ('--load-lag-s', float, 0.5, 'age of the load report, seconds'),
    ('--load-s', float, 1, 'time to load a model, seconds'),
    ('--cache-blocks', int, 512, 'blocks of 16 tokens kept in the cache'),
    ('--cache-event-delay-s', float, 1, 'age of listed cache events'),
    ('--cache-event-gap', float, 0, 'share of cache events that are lost'),
    ('--resume-keep-s', float, 30, 'time a broken stream stays resumable'),
    ('--seed', int, 1, 'seed of the losses'),
)

_SERVICE_NUMBERS: tuple[_Number, ...] = (
    ('--answer-s', float, 0, 'time an answer takes, seconds'),
)

_PLATFORM_NUMBERS: tuple[_Number, ...] = (
    ('--capacity', int, 100, 'regular endpoints per zone'),
    ('--cheap-capacity', int, 20, 'spot endpoints per zone'),
    ('--price', float, 1, 'price of a regular endpoint per hour'),
    ('--cheap-price', float, 0.3, 'price of a spot endpoint per hour'),
    ('--start-delay-s', float, 2, 'time until an endpoint runs, seconds'),
    ('--host-lag-s', float, 2, 'lag of the list of hosts, seconds'),
    ('--weight-rate', float, 1, 'downloads per second'),
    ('--weight-burst', float, 2, 'downloads at once after a pause'),
    ('--weight-bytes', int, 65536, 'size of a download'),
)


def build_parser() -> argparse.ArgumentParser:
    """Give the parser of ``python -m apricotcart_standins``."""
    parser = argparse.ArgumentParser(
        prog='apricotcart_standins',
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    kinds = parser.add_subparsers(dest='kind', required=True)
    _add_engine(_add_kind(kinds, 'engine'))
    _add_numbers(_add_kind(kinds, 'service'), _SERVICE_NUMBERS)
    _add_platform(_add_kind(kinds, 'platform'))
    _add_relay(_add_kind(kinds, 'relay'))
    return parser


def control_port(options: argparse.Namespace) -> int:
    """Give the port of the HTTP server, which is a relay's control port."""
    port: int = getattr(options, 'control_port', options.port)
    return port


def _add_kind(
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


def _add_numbers(
    parser: argparse.ArgumentParser,
    numbers: tuple[_Number, ...],
) -> None:
    for name, kind, default, text in numbers:
        parser.add_argument(name, type=kind, default=default, help=text)


def _add_engine(parser: argparse.ArgumentParser) -> None:
    _add_numbers(parser, _ENGINE_NUMBERS)
    parser.add_argument('--models', default='chat', help='comma-separated')
    parser.add_argument(
        '--weight-store',
        default='',
        help='base URL of a platform from which loads fetch weights',
    )
    _add_fencing(parser)


def _add_platform(parser: argparse.ArgumentParser) -> None:
    _add_numbers(parser, _PLATFORM_NUMBERS)
    parser.add_argument('--zones', default='a,b,c,d', help='comma-separated')
    parser.add_argument(
        '--urls',
        default='',
        help='comma-separated base URLs handed to started endpoints',
    )
    _add_fencing(parser)


def _add_relay(parser: argparse.ArgumentParser) -> None:
    parser.add_argument('--target', required=True, help='host:port')
    parser.add_argument(
        '--control-port',
        type=int,
        default=0,
        help='port of POST /relay on the same address; 0: a free port',
    )


def _add_fencing(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        '--ignore-fencing',
        action='store_true',
        help='take requests with an old fencing number',
    )
