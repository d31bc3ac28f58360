"""Command line of the stand-ins."""

from __future__ import annotations

import argparse

_ENGINE_NUMBERS = (
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


def build_parser() -> argparse.ArgumentParser:
    """Give the parser of ``python -m apricotcart_standins``."""
    parser = argparse.ArgumentParser(
        prog='apricotcart_standins',
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )
    kinds = parser.add_subparsers(dest='kind', required=True)
    _add_engine(_add_kind(kinds, 'engine'))
    _add_kind(kinds, 'service')
    return parser


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


def _add_engine(parser: argparse.ArgumentParser) -> None:
    for name, kind, default, text in _ENGINE_NUMBERS:
        parser.add_argument(name, type=kind, default=default, help=text)
    parser.add_argument('--models', default='chat', help='comma-separated')
    parser.add_argument(
        '--ignore-fencing',
        action='store_true',
        help='take commands with an old fencing number',
    )
