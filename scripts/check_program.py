"""Checks the single-file program: processes, start, stop, unpacked files."""

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
CONCURRENT_STARTS = 8


class CheckFailedError(Exception):
    """A check of the program failed."""


def require(passed: bool, description: str) -> None:
    """Print the result of a check and raise an error if it failed."""
    print(f'{"ok" if passed else "FAILED"}: {description}')
    if not passed:
        raise CheckFailedError(description)


def list_child_pids(pid: int) -> list[str]:
    """Return the process ids of the children of a process."""
    pids: list[str] = []
    for task in Path(f'/proc/{pid}/task').iterdir():
        # A thread may exit meanwhile; another thread inherits its children.
        with contextlib.suppress(FileNotFoundError, ProcessLookupError):
            pids.extend((task / 'children').read_text().split())
    return pids


def resident_mib(pid: int) -> float:
    """Return the resident memory of a process in MiB."""
    status = Path(f'/proc/{pid}/status').read_text()
    match = re.search(r'VmRSS:\s+(\d+)', status)
    return int(match.group(1)) / 1024 if match else 0.0


def is_serving(url: str) -> bool:
    """Return whether the health endpoint answers."""
    try:
        with urlopen(f'{url}/healthz', timeout=1):
            return True
    except (URLError, OSError):
        return False


def check_start(cluster: Cluster, name: str, kind: str) -> tuple[float, float]:
    """Start, check and stop a host; return its start time and memory."""
    start = getattr(cluster, f'start_{kind}')
    url = {**cluster.control_addresses, **cluster.entry_addresses}[name].url
    started_at = time.monotonic()
    child = start(name)
    children = 0
    while not is_serving(url):
        children += len(list_child_pids(child.pid))
        if not child.is_running() or time.monotonic() - started_at > 60:
            raise CheckFailedError(
                f'{name} exited or did not answer within 60 s: {child.tail()}'
            )
        time.sleep(POLL_S)
    start_s = time.monotonic() - started_at
    time.sleep(1)
    memory_mib = resident_mib(child.pid)
    children += len(list_child_pids(child.pid))
    command = Path(f'/proc/{child.pid}/cmdline').read_bytes().split(b'\0')
    exit_code = child.stop()
    if children or exit_code or kind.encode() not in command:
        raise CheckFailedError(
            f'{name}: expected no children, exit code 0 and {kind} in the'
            f' command; got {children} children, exit code {exit_code},'
            f' command {command}'
        )
    return start_s, memory_mib


def check_commands(program: Path, cluster: Cluster) -> None:
    """Check the subcommands that need no control host."""
    settings = cluster.folder / 'c1.ini'
    for arguments, expected in (
        (['version'], 0),
        (['check', 'control', settings], 0),
        (['check', 'entry', cluster.folder / 'e1.ini'], 0),
        (['check', 'entry', settings], 3),
        (['nonsense'], 2),
    ):
        result = subprocess.run(
            [program, *arguments], capture_output=True, text=True, check=False
        )
        command = ' '.join(map(str, arguments[:2]))
        require(
            result.returncode == expected,
            f'{command} exits with {expected} (got {result.returncode})',
        )


def check_unpacking(program: Path, scratch: Path) -> None:
    """Check concurrent first starts and folders that must be refused."""
    runtime = scratch / 'shared'
    env = {**os.environ, 'APRICOTCART_RUNTIME_DIR': str(runtime)}
    processes = [
        subprocess.Popen([program, 'version'], env=env, stdout=-3)
        for _ in range(CONCURRENT_STARTS)
    ]
    exit_codes = {process.wait() for process in processes}
    require(
        exit_codes == {0} and len(list(runtime.iterdir())) == 1,
        f'{CONCURRENT_STARTS} concurrent first starts create one folder',
    )
    env['APRICOTCART_RUNTIME_DIR'] = '/proc/none'
    result = subprocess.run(
        [program, 'version'], env=env, capture_output=True, check=False
    )
    require(
        result.returncode == 1 and b'cannot create' in result.stderr,
        'a runtime folder that cannot be created is reported',
    )
    env.pop('APRICOTCART_RUNTIME_DIR')
    env['HOME'] = str(program.parent)
    result = subprocess.run(
        [program, 'version'], env=env, capture_output=True, check=False
    )
    require(
        result.returncode == 1 and b'below the home folder' in result.stderr,
        'a program below the home folder does not unpack beside itself',
    )


def check_kind(cluster: Cluster, name: str, kind: str) -> None:
    """Check one cold start and several warm starts."""
    cold_s, _ = check_start(cluster, name, kind)
    print(f'{kind}: first start {cold_s:.2f} s')
    runs = [check_start(cluster, name, kind) for _ in range(WARM_STARTS)]
    warm_s = statistics.median(start_s for start_s, _ in runs)
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
            data_runtime = cluster.folder / 'data-c1' / 'runtime'
            shutil.rmtree(data_runtime)
            check_kind(cluster, 'c1', 'control')
            require(
                len(list(data_runtime.iterdir())) == 1,
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
