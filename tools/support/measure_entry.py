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

from support.cluster import Cluster, ProcessAddress
from support.demo import start
from support.processes import Child

CALLS = 600
BURST_S = 5.0
BURST_THREADS = 16
STREAMS = 140
STREAM_INTERVAL_S = 0.047
STREAM_S = 20.0
ARRIVALS_PER_S = 8.2
_MIB = 1 << 20
_MESSAGES = [{'role': 'user', 'content': 'a short prompt'}]


class Target:
    """Destination of chat requests: an engine or an entry host."""

    def __init__(self, url: str, model: str, secret: str = '') -> None:
        """Open a separate connection pool."""
        self.url = f'{url}/v1/chat/completions'
        self.model = model
        self.headers = {'Authorization': f'Bearer {secret}'} if secret else {}
        self.http = urllib3.PoolManager(maxsize=STREAMS + BURST_THREADS)

    def call(self, tokens: int = 1) -> None:
        """Request an unstreamed answer."""
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
        """Read a stream to its end and return its number of chunks."""
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
    """Time several calls in turn, so that all meet the same machine load."""
    samples: list[list[float]] = [[] for _ in calls]
    for _ in range(CALLS):
        for position, call in enumerate(calls):
            started = time.perf_counter()
            call()
            samples[position].append((time.perf_counter() - started) * 1000)
    return samples


def median_and_p99(sample: list[float]) -> tuple[float, float]:
    """Return the median and the 99th percentile."""
    ordered = sorted(sample)
    return statistics.median(ordered), ordered[int(len(ordered) * 0.99)]


def requests_per_second(target: Target) -> float:
    """Return the rate of short calls from several threads."""
    ends_at = time.perf_counter() + BURST_S
    counts = [0 for _ in range(BURST_THREADS)]

    def work(position: int) -> None:
        while time.perf_counter() < ends_at:
            target.call()
            counts[position] += 1

    _run_threads([partial(work, at) for at in range(BURST_THREADS)])
    return sum(counts) / BURST_S


def steady_load(target: Target, process: psutil.Process) -> dict[str, float]:
    """Run 140 streams with concurrent short requests and return the figures."""
    tokens = int(STREAM_S / STREAM_INTERVAL_S)
    chunks: list[int] = []
    stop = threading.Event()
    cpu: dict[str, float] = {}

    def arrive() -> None:
        while not stop.wait(1 / ARRIVALS_PER_S):
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
    entry = Target(cluster.entry_addresses['e1'].url, 'draft', secret)
    engine = Target(cluster.standin_addresses['engine-1'].url, 'writer')
    bare = _start_bare_server(cluster)
    process = psutil.Process(cluster.children['e1'].pid)
    idle_mib = process.memory_info().rss / _MIB
    direct, via_entry, minimal = latencies_ms(
        [engine.call, entry.call, bare.call],
    )
    added = [
        entry_ms - engine_ms
        for entry_ms, engine_ms in zip(via_entry, direct, strict=True)
    ]
    _print_latency('direct call to the engine, ms (median, p99)', direct)
    _print_latency('call through the entry host, ms', via_entry)
    _print_latency('added by the entry host, ms', added)
    _print_latency('minimal handler of the same server, ms', minimal)
    ratio = statistics.median(added) / statistics.median(minimal)
    _print_figure('added / minimal handler at the median (target 1.5)', ratio)
    if latency_only:
        return
    _print_figure(
        'short calls a second, 16 callers', requests_per_second(entry)
    )
    steady = steady_load(entry, process)
    _print_figure('streams finished', steady['streams'])
    _print_figure('stream chunks a second', steady['chunks_s'])
    _print_figure(
        'CPU with 140 streams and 8.2 requests/s, cores', steady['cores']
    )
    _print_figure('resident memory idle, MiB', idle_mib)
    _print_figure('resident memory with 140 streams, MiB', steady['rss_mib'])
    for name in cluster.control_addresses:
        control = psutil.Process(cluster.children[name].pid)
        _print_figure(
            f'resident memory of control host {name}, MiB',
            control.memory_info().rss / _MIB,
        )


def _start_bare_server(cluster: Cluster) -> Target:
    address = ProcessAddress('127.0.0.90')
    args = ['support.bare', '--host', address.host, '--port', str(address.port)]
    cluster.children['bare'] = Child('bare', args, cluster.folder)
    cluster.wait_serving('bare', address)
    return Target(address.url, '')


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return float(times.user + times.system)


def _run_threads(tasks: list[Callable[[], Any]]) -> None:
    threads = [threading.Thread(target=task) for task in tasks]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def _print_latency(title: str, sample: list[float]) -> None:
    median, p99 = median_and_p99(sample)
    sys.stdout.write(f'{title:58} {median:9.2f} {p99:9.2f}\n')


def _print_figure(title: str, figure: float) -> None:
    sys.stdout.write(f'{title:58} {figure:9.2f}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    sys.exit(main())
