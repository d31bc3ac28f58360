"""Measures the pace of an engine stand-in under many streams.

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

_PERCENTILES = 100
_P95 = 94
_MS_PER_S = 1000
_STREAMS = 35
_TOKENS = 100


def read_gaps(
    pool: urllib3.PoolManager,
    url: str,
    tokens: int,
    number: int,
) -> list[float]:
    """Read one stream and give the times between its events, in seconds."""
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
    # The last two events, reason and usage, follow without a pause.
    pairs = zip(times[1:-2], times)
    return list(starmap(operator.sub, pairs))


def read_all(url: str, streams: int, tokens: int) -> list[float]:
    """Read streams at the same time and give all gaps, in seconds."""
    http = urllib3.PoolManager(maxsize=streams, retries=False)
    read = partial(read_gaps, http, url, tokens)
    with ThreadPoolExecutor(streams) as threads:
        gaps = threads.map(read, range(streams))
        return list(chain.from_iterable(gaps))


def main() -> int:
    """Print the median and the 95th percentile of the gaps."""
    parser = argparse.ArgumentParser(prog='apricotcart_standins.pace')
    parser.add_argument('--url', required=True)
    parser.add_argument('--streams', type=int, default=_STREAMS)
    parser.add_argument('--tokens', type=int, default=_TOKENS)
    options = parser.parse_args()
    gaps = read_all(options.url, options.streams, options.tokens)
    median_ms = statistics.median(gaps) * _MS_PER_S
    late_ms = statistics.quantiles(gaps, n=_PERCENTILES)[_P95] * _MS_PER_S
    sys.stdout.write(
        f'{len(gaps)} gaps, median {median_ms:.1f} ms, '
        f'95th percentile {late_ms:.1f} ms\n',
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
