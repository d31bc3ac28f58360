"""Tests of the consensus thread."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import Any

import pytest
from control.fakes import WAIT_S, FakeLinks, FakeNode, refused, unknown

from apricotcart.codec.packing import pack, unpack
from apricotcart.consensus.api import Completion, Role
from apricotcart.control.loop import ConsensusLoop
from apricotcart.errors.tree import (
    ApricotcartError,
    UnavailableError,
)

COMMAND = {'kind': 'usage_close', 'window': 1}


class Running:
    """A loop on a fake node, and callers on other threads."""

    def __init__(self, pool: ThreadPoolExecutor) -> None:
        """Start the loop."""
        self.node = FakeNode()
        self.failed = threading.Event()
        node: Any = self.node
        self.loop = ConsensusLoop(node, FakeLinks(), {}, 0.001, self.failed.set)
        self.loop.start()
        self._pool = pool

    def propose(self) -> Future[Any]:
        """Propose on another thread and wait until the node has it."""
        self.node.requested.clear()
        fut = self._pool.submit(self.loop.propose, COMMAND, WAIT_S)
        assert self.node.requested.wait(WAIT_S)
        return fut

    def complete(self, error: ApricotcartError | None = None) -> None:
        """Complete the newest request."""
        ticket = len(self.node.requests)
        reply = pack({'ok': True})
        completion = Completion(ticket=ticket, reply=reply, error=error)
        self.node.outcomes = [completion]


def assert_ended(fut: Future[Any]) -> None:
    """Check that a caller was ended before its timeout, not refused."""
    error = fut.exception(WAIT_S)
    assert isinstance(error, UnavailableError)
    assert error.message == 'this host is stopping'


@pytest.fixture
def running() -> Iterator[Running]:
    """Give a loop that runs."""
    with ThreadPoolExecutor() as pool:
        started = Running(pool)
        yield started
        started.loop.stop()


def test_propose_outcomes(running: Running) -> None:
    """Guards against an outcome that is told as another one."""
    fut = running.propose()
    running.complete()
    assert fut.result(WAIT_S) == {'ok': True}
    command = unpack(running.node.requests[0])
    assert command.pop('at_ms') > 0
    assert command == COMMAND


@pytest.mark.parametrize('error', [refused(), unknown()])
def test_propose_keeps_error(running: Running, error: ApricotcartError) -> None:
    """Guards against an unknown outcome that is told as not done."""
    fut = running.propose()
    running.complete(error)
    assert fut.exception(WAIT_S) is error


def test_propose_late_is_unknown(running: Running) -> None:
    """Guards against a timeout that is told as not done.

    The node completes the command after the caller has gone, which must not
    disturb the next caller.
    """
    with pytest.raises(UnavailableError):
        running.loop.propose(COMMAND, 0)
    assert running.node.requested.wait(WAIT_S)
    fut = running.propose()
    running.complete()
    assert fut.result(WAIT_S) == {'ok': True}


def test_failed_node_ends_callers(running: Running) -> None:
    """Guards against callers that wait on a node that has failed."""
    waiting = [running.propose(), running.propose()]
    running.node.role = Role.FAILED
    for fut in waiting:
        assert_ended(fut)
    assert running.failed.is_set()
    with pytest.raises(UnavailableError):
        running.loop.barrier(WAIT_S)


def test_stopped_loop_ends_callers(running: Running) -> None:
    """Guards against a stop that waits for the callers' timeouts."""
    fut = running.propose()
    running.loop.stop()
    assert_ended(fut)
    assert not running.failed.is_set()


def test_broken_thread_ends_process(running: Running) -> None:
    """Guards against a process that goes on without its consensus thread."""
    fut = running.propose()
    message: Any = 'not a message'
    running.loop.deliver(message)
    assert_ended(fut)
    assert running.failed.wait(WAIT_S)


def test_readers_during_sync(running: Running) -> None:
    """Guards against a lease check that waits for a sync of the disk.

    The deadline of a send is taken from a clock reading before the check,
    so a check that waits lets the send outlast the lease.
    """
    syncing = threading.Event()
    synced = threading.Event()

    def sync() -> None:
        syncing.set()
        assert synced.wait(2 * WAIT_S)

    running.node.lease = 5
    running.node.on_flush = sync
    assert syncing.wait(WAIT_S)
    with ThreadPoolExecutor() as pool:
        readers: list[Future[Any]] = [
            pool.submit(running.loop.lease_until),
            pool.submit(running.loop.status),
        ]
        finished = wait(readers, WAIT_S).done
        synced.set()
    assert len(finished) == 2
    assert readers[0].result() in {0, 5}
    assert readers[1].result()['role'] == 'leader'
