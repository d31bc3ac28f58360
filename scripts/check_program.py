"""Checks the one-file program: one process, start, stop and unpacked files."""

from __future__ import annotations

import contextlib
import os
import re
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.error import URLError
from urllib.request import urlopen

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT / 'src'), str(ROOT / 'tools')]

from support.cluster import Cluster  # noqa: E402

START_LIMIT_S = 2.0
CONTROL_MEMORY_LIMIT_MIB = 64.0
WARM_STARTS = 5
POLL_S = 0.002
FIRST_STARTS = 8


class CheckFailedError(Exception):
    """The program does not do what it must."""


def require(holds: bool, what: str) -> None:
    """Print what was checked, and stop if it does not hold."""
    print(f'{"ok" if holds else "FAILED"}: {what}')
    if not holds:
        raise CheckFailedError(what)


def children_of(pid: int) -> list[str]:
    """Give the ids of a process's children."""
    found: list[str] = []
    for task in Path(f'/proc/{pid}/task').iterdir():
        # A thread may end while it is read; its children move to another.
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            found.extend((task / 'children').read_text().split())
    return found


def resident_mib(pid: int) -> float:
    """Give the resident memory of a process."""
    status = Path(f'/proc/{pid}/status').read_text()
    match = re.search(r'VmRSS:\s+(\d+)', status)
    return int(match.group(1)) / 1024 if match else 0.0


def serves(url: str) -> bool:
    """Tell whether the health page answers."""
    try:
        with urlopen(f'{url}/healthz', timeout=1):
            return True
    except (URLError, OSError):
        return False


def check_start(cluster: Cluster, name: str, kind: str) -> tuple[float, float]:
    """Start a host, check its process, stop it; give time and memory."""
    start = getattr(cluster, f'start_{kind}')
    url = {**cluster.api, **cluster.entry}[name].url
    began = time.monotonic()
    child = start(name)
    children = 0
    while not serves(url):
        children += len(children_of(child.pid))
        if not child.is_running() or time.monotonic() - began > 60:
            raise CheckFailedError(f'{name} does not serve: {child.tail()}')
        time.sleep(POLL_S)
    took_s = time.monotonic() - began
    time.sleep(1)
    memory_mib = resident_mib(child.pid)
    children += len(children_of(child.pid))
    command = Path(f'/proc/{child.pid}/cmdline').read_bytes().split(b'\0')
    exit_code = child.stop()
    if children or exit_code or kind.encode() not in command:
        raise CheckFailedError(
            f'{name}: {children} children, exit code {exit_code},'
            f' command {command}'
        )
    return took_s, memory_mib


def check_commands(program: Path, cluster: Cluster) -> None:
    """Check the subcommands that need no control host."""
    settings = cluster.folder / 'c1.ini'
    for words, expected in (
        (['version'], 0),
        (['check', 'control', settings], 0),
        (['check', 'entry', cluster.folder / 'e1.ini'], 0),
        (['check', 'entry', settings], 3),
        (['nonsense'], 2),
    ):
        done = subprocess.run(
            [program, *words], capture_output=True, text=True, check=False
        )
        command = ' '.join(map(str, words[:2]))
        require(
            done.returncode == expected,
            f'{command} exits with {expected} (got {done.returncode})',
        )


def check_unpacking(program: Path, scratch: Path) -> None:
    """Check many first starts at once, and places that must be refused."""
    runtime = scratch / 'shared'
    env = {**os.environ, 'APRICOTCART_RUNTIME_DIR': str(runtime)}
    started = [
        subprocess.Popen([program, 'version'], env=env, stdout=-3)
        for _ in range(FIRST_STARTS)
    ]
    codes = {process.wait() for process in started}
    require(
        codes == {0} and len(list(runtime.iterdir())) == 1,
        f'{FIRST_STARTS} first starts at once leave one folder',
    )
    env['APRICOTCART_RUNTIME_DIR'] = '/proc/none'
    done = subprocess.run(
        [program, 'version'], env=env, capture_output=True, check=False
    )
    require(
        done.returncode == 1 and b'cannot create' in done.stderr,
        'a runtime folder that cannot be made is reported',
    )
    env.pop('APRICOTCART_RUNTIME_DIR')
    env['HOME'] = str(program.parent)
    done = subprocess.run(
        [program, 'version'], env=env, capture_output=True, check=False
    )
    require(
        done.returncode == 1 and b'below the home folder' in done.stderr,
        'a program below the home folder does not unpack beside itself',
    )


def check_kind(cluster: Cluster, name: str, kind: str) -> None:
    """Check one cold start and several warm ones."""
    cold_s, _ = check_start(cluster, name, kind)
    print(f'{kind}: first start {cold_s:.2f} s')
    runs = [check_start(cluster, name, kind) for _ in range(WARM_STARTS)]
    warm_s = statistics.median(took_s for took_s, _ in runs)
    memory_mib = max(memory for _, memory in runs)
    require(True, f'{kind}: one process, no children, exits with 0 on SIGTERM')
    require(
        warm_s < START_LIMIT_S,
        f'{kind}: warm start {warm_s:.2f} s (median of {WARM_STARTS},'
        f' from exec to the first answer) is under {START_LIMIT_S:g} s',
    )
    if kind == 'control':
        require(
            memory_mib < CONTROL_MEMORY_LIMIT_MIB,
            f'control: {memory_mib:.1f} MiB resident is under'
            f' {CONTROL_MEMORY_LIMIT_MIB:g} MiB',
        )
    else:
        print(f'{kind}: {memory_mib:.1f} MiB resident')


def main(program: Path) -> None:
    """Run all checks."""
    with tempfile.TemporaryDirectory(prefix='apricotcart-check-') as scratch:
        home = Path(scratch, 'home')
        temporary = Path(scratch, 'tmp')
        runtime = Path(scratch, 'runtime')
        home.mkdir()
        temporary.mkdir()
        os.environ.update(HOME=str(home), TMPDIR=str(temporary))
        cluster = Cluster(
            Path(scratch, 'cluster'),
            controls=1,
            entries=1,
            program=[str(program)],
        )
        os.environ.pop('APRICOTCART_RUNTIME_DIR', None)
        try:
            cluster.init_control('c1')
            below_data = cluster.folder / 'data-c1' / 'runtime'
            shutil.rmtree(below_data)
            check_kind(cluster, 'c1', 'control')
            require(
                len(list(below_data.iterdir())) == 1,
                'control unpacks below the [data] folder',
            )
            os.environ['APRICOTCART_RUNTIME_DIR'] = str(runtime)
            check_kind(cluster, 'e1', 'entry')
            require(
                len(list(runtime.iterdir())) == 1,
                'entry unpacks below APRICOTCART_RUNTIME_DIR',
            )
            check_commands(program, cluster)
            check_unpacking(program, Path(scratch))
        finally:
            cluster.stop()
        require(not list(home.iterdir()), 'the home folder stays empty')
        require(not list(temporary.iterdir()), 'TMPDIR stays empty')


if __name__ == '__main__':
    try:
        main(Path(sys.argv[1]).resolve())
    except CheckFailedError as exc:
        sys.exit(f'check failed: {exc}')
