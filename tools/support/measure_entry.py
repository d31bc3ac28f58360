"""Measures one entry host on loopback against stand-in engines."""

from __future__ import annotations

import argparse
import statistics
import sys
import tempfile
import threading
import time
from collections.abc import Callable
from contextlib import ExitStack
from functools import partial
from pathlib import Path
from typing import Any

import psutil
import urllib3

from support.cluster import Cluster, Site
from support.demo import start
from support.processes import Child

CALLS = 600
BURST_S = 5.0
BURST_THREADS = 16
STREAMS = 140
STREAM_INTERVAL_S = 0.047
STREAM_S = 20.0
ARRIVALS_A_S = 8.2
_MIB = 1 << 20
_MESSAGES = [{'role': 'user', 'content': 'a short prompt'}]


class Target:
    """Where chat calls go: an engine itself, or an entry host."""

    def __init__(self, url: str, model: str, secret: str = '') -> None:
        """Keep a connection pool of its own."""
        self.url = f'{url}/v1/chat/completions'
        self.model = model
        self.headers = {'Authorization': f'Bearer {secret}'} if secret else {}
        self.http = urllib3.PoolManager(maxsize=STREAMS + BURST_THREADS)

    def call(self, tokens: int = 1) -> None:
        """Ask for a whole answer."""
        body = {
            'model': self.model,
            'messages': _MESSAGES,
            'max_tokens': tokens,
        }
        reply = self.http.request(
            'POST',
            self.url,
            json=body,
            headers=self.headers,
        )
        if reply.status != 200:
            sys.exit(f'{self.url} answered {reply.status}: {reply.data!r}')

    def stream(self, tokens: int) -> int:
        """Read a stream to its end and count its chunks."""
        body = {
            'model': self.model,
            'messages': _MESSAGES,
            'max_tokens': tokens,
            'ignore_eos': True,
            'stream': True,
        }
        reply = self.http.request(
            'POST',
            self.url,
            json=body,
            headers=self.headers,
            preload_content=False,
        )
        chunks = 0
        rest = b''
        for chunk in reply.stream(65_536):
            chunks += chunk.count(b'\n\n')
            rest = (rest + chunk)[-64:]
        if not rest.rstrip().endswith(b'[DONE]'):
            sys.exit('a stream ended without its end marker')
        return chunks


def latencies_ms(calls: list[Callable[[], None]]) -> list[list[float]]:
    """Time several calls in turn, so that all see the same machine."""
    samples: list[list[float]] = [[] for _ in calls]
    for _ in range(CALLS):
        for position, call in enumerate(calls):
            started = time.perf_counter()
            call()
            samples[position].append((time.perf_counter() - started) * 1000)
    return samples


def median_and_p99(sample: list[float]) -> tuple[float, float]:
    """Give the median and the 99th percentile."""
    ordered = sorted(sample)
    return statistics.median(ordered), ordered[int(len(ordered) * 0.99)]


def requests_a_second(target: Target) -> float:
    """Call from several threads for a while."""
    ends_at = time.perf_counter() + BURST_S
    counts = [0 for _ in range(BURST_THREADS)]

    def work(position: int) -> None:
        while time.perf_counter() < ends_at:
            target.call()
            counts[position] += 1

    _run_threads([partial(work, at) for at in range(BURST_THREADS)])
    return sum(counts) / BURST_S


def steady_load(target: Target, process: psutil.Process) -> dict[str, float]:
    """Run 140 streams with new short requests beside them."""
    tokens = int(STREAM_S / STREAM_INTERVAL_S)
    chunks: list[int] = []
    stop = threading.Event()
    cpu: dict[str, float] = {}

    def arrive() -> None:
        while not stop.wait(1 / ARRIVALS_A_S):
            threading.Thread(target=target.call).start()

    def watch() -> None:
        time.sleep(STREAM_S / 4)
        before = _cpu_s(process)
        started = time.perf_counter()
        time.sleep(STREAM_S / 2)
        cpu['cores'] = (_cpu_s(process) - before) / (
            time.perf_counter() - started
        )
        stop.set()

    started = time.perf_counter()

    def read() -> None:
        chunks.append(target.stream(tokens))

    streams = [read for _ in range(STREAMS)]
    _run_threads([*streams, arrive, watch])
    elapsed = time.perf_counter() - started
    return {
        'chunks_s': sum(chunks) / elapsed,
        'streams': len(chunks),
        'cores': cpu['cores'],
        'rss_mib': process.memory_info().rss / _MIB,
    }


def main() -> int:
    """Print the figures as a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        '--latency',
        action='store_true',
        help='measure the added latency only',
    )
    args = parser.parse_args()
    with ExitStack() as stack:
        name = stack.enter_context(tempfile.TemporaryDirectory())
        cluster, secret = start(
            Path(name),
            entries=1,
            engine_options=(
                '--first-token-s=0',
                f'--interval-s={STREAM_INTERVAL_S}',
                '--batch-slowdown=0',
                '--slots=100',
            ),
            engine_slots=100,
        )
        stack.callback(cluster.stop)
        _measure(cluster, secret, latency_only=args.latency)
    return 0


def _measure(
    cluster: Cluster,
    secret: str,
    *,
    latency_only: bool,
) -> None:
    entry = Target(cluster.entry['e1'].url, 'draft', secret)
    engine = Target(cluster.standins['engine-1'].url, 'writer')
    bare = _bare(cluster)
    process = psutil.Process(cluster.children['e1'].pid)
    idle_mib = process.memory_info().rss / _MIB
    direct, through, minimal = latencies_ms(
        [engine.call, entry.call, bare.call],
    )
    added = [via - own for via, own in zip(through, direct, strict=True)]
    _row('direct call to the engine, ms (median, p99)', direct)
    _row('call through the entry host, ms', through)
    _row('added by the entry host, ms', added)
    _row('minimal handler of the same server, ms', minimal)
    ratio = statistics.median(added) / statistics.median(minimal)
    _line('added / minimal handler at the median (target 1.5)', ratio)
    if latency_only:
        return
    _line('short calls a second, 16 callers', requests_a_second(entry))
    steady = steady_load(entry, process)
    _line('streams finished', steady['streams'])
    _line('stream chunks a second', steady['chunks_s'])
    _line('CPU with 140 streams and 8.2 requests/s, cores', steady['cores'])
    _line('resident memory idle, MiB', idle_mib)
    _line('resident memory with 140 streams, MiB', steady['rss_mib'])
    for name in cluster.api:
        control = psutil.Process(cluster.children[name].pid)
        _line(
            f'resident memory of control host {name}, MiB',
            control.memory_info().rss / _MIB,
        )


def _bare(cluster: Cluster) -> Target:
    site = Site('127.0.0.90')
    args = ['support.bare', '--host', site.host, '--port', str(site.port)]
    cluster.children['bare'] = Child('bare', args, cluster.folder)
    cluster.wait_serving('bare', site)
    return Target(site.url, '')


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _run_threads(tasks: list[Callable[[], Any]]) -> None:
    threads = [threading.Thread(target=task) for task in tasks]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _row(title: str, sample: list[float]) -> None:
    median, p99 = median_and_p99(sample)
    sys.stdout.write(f'{title:58} {median:9.2f} {p99:9.2f}\n')


def _line(title: str, figure: float) -> None:
    sys.stdout.write(f'{title:58} {figure:9.2f}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
