"""Tests of start and stop of the control host process."""

from __future__ import annotations

import signal
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from apricotcart.consensus.identity import first_node_id
from apricotcart.consensus.members import Members
from apricotcart.control.server import ControlServer
from apricotcart.errors.tree import StorageError, UnavailableError
from apricotcart.process.api import EXIT_FAILED, EXIT_OK
from apricotcart.storage.identity import Identity
from apricotcart.storage.log_store import DurableLogStore, initialize_directory
from apricotcart.storage.real_disk import RealDisk


class LogOnlyServer(ControlServer):
    """Runs the replicated log without the other components."""

    def _start(self) -> None:
        self._loop.start()

    def _stop(self) -> None:
        self._loop.stop()
        self._links.close()


@pytest.fixture
def server(
    tmp_path: Path, unused_tcp_port: int, monkeypatch: pytest.MonkeyPatch
) -> LogOnlyServer:
    """Return the only voter of a cluster."""
    monkeypatch.setattr(signal, 'signal', lambda *_: None)
    disk = RealDisk(tmp_path)
    members = Members(voters=[first_node_id('a')])
    initialize_directory(disk, Identity(name='a', incarnation='0'), members)
    disk.close()
    address = f'tcp://127.0.0.1:{unused_tcp_port}'
    cfg: Any = SimpleNamespace(
        cluster=SimpleNamespace(name='x', read_secret=lambda: b'secret'),
        tls=SimpleNamespace(cert=None, key=None, ca=None),
        tracing=SimpleNamespace(file=None),
        host=SimpleNamespace(name='a', address='127.0.0.1'),
        metrics=SimpleNamespace(port=0),
        data=SimpleNamespace(folder=str(tmp_path)),
        timing=SimpleNamespace(snapshot_entries=100, tick_interval_s=0.02),
        peers=SimpleNamespace(listen=address, voters={'a': address}),
    )
    return LogOnlyServer(cfg)


@pytest.mark.parametrize('method', ['append', 'save_vote'])
def test_failed_write_stops_process(
    server: LogOnlyServer, monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    """Guards against a host that continues after a failed write."""
    calls: list[str] = []

    def fail(*args: Any) -> None:
        calls.append(method)
        raise StorageError('the disk is full')

    monkeypatch.setattr(DurableLogStore, method, fail)
    assert server.run() == EXIT_FAILED
    # A failed write is not retried.
    assert calls == [method]
    with pytest.raises(UnavailableError):
        server._loop.propose({'kind': 'usage_close', 'window': 1}, 1)


def test_signal_stops_process_without_failure(server: LogOnlyServer) -> None:
    """Guards against a planned stop that is reported as a failure."""
    server._stop_request.on_signal(signal.SIGTERM, None)
    assert server.run() == EXIT_OK
