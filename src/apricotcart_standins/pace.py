"""Measures the inter-token latency of an engine under many streams.

``python -m apricotcart_standins.pace --url URL --streams 140``
"""

from __future__ import annotations

import argparse
import operator
import statistics
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from itertools import chain, starmap

import urllib3

_QUANTILES = 100
_P95_INDEX = 94
_MS_PER_S = 1000
_STREAMS = 35
_TOKENS = 100


def read_token_intervals(
    pool: urllib3.PoolManager,
    url: str,
    tokens: int,
    number: int,
) -> list[float]:
    """Read a stream and return its inter-token latencies, in seconds."""
    fields = {
        'model': 'chat',
        'stream': True,
        'max_tokens': tokens,
        'ignore_eos': True,
        'messages': [{'role': 'user', 'content': f'prompt {number}'}],
    }
    answer = pool.request(
        'POST',
        f'{url}/v1/chat/completions',
        json=fields,
        preload_content=False,
    )
    times = []
    for line in answer:
        if line.startswith(b'data: {'):
            times.append(time.monotonic())
    # The last two events, reason and usage, follow the last token at once.
    pairs = zip(times[1:-2], times)
    return list(starmap(operator.sub, pairs))


def read_concurrently(url: str, streams: int, tokens: int) -> list[float]:
    """Read concurrent streams; return all inter-token latencies in s."""
    http = urllib3.PoolManager(maxsize=streams, retries=False)
    read = partial(read_token_intervals, http, url, tokens)
    with ThreadPoolExecutor(streams) as threads:
        intervals = threads.map(read, range(streams))
        return list(chain.from_iterable(intervals))


def main() -> int:
    """Print the median and 95th percentile of the inter-token latency."""
    parser = argparse.ArgumentParser(prog='apricotcart_standins.pace')
    parser.add_argument('--url', required=True)
    parser.add_argument('--streams', type=int, default=_STREAMS)
    parser.add_argument('--tokens', type=int, default=_TOKENS)
    options = parser.parse_args()
    intervals = read_concurrently(options.url, options.streams, options.tokens)
    median_ms = statistics.median(intervals) * _MS_PER_S
    p95_ms = (
        statistics.quantiles(intervals, n=_QUANTILES)[_P95_INDEX] * _MS_PER_S
    )
    sys.stdout.write(
        f'{len(intervals)} token intervals, median {median_ms:.1f} ms, '
        f'95th percentile {p95_ms:.1f} ms\n',
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
