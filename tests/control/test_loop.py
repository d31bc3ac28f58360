"""Tests of the consensus thread."""

from __future__ import annotations

import threading
from collections.abc import Iterator
from concurrent.futures import Future, ThreadPoolExecutor, wait
from typing import Any

import pytest
from control.fakes import (
    WAIT_S,
    FakeLinks,
    FakeNode,
    not_leader_error,
    unknown_outcome_error,
)

from apricotcart.codec.packing import pack, unpack
from apricotcart.consensus.api import Completion, Role
from apricotcart.control.loop import ConsensusLoop
from apricotcart.errors.tree import (
    ApricotcartError,
    UnavailableError,
)

COMMAND = {'kind': 'usage_close', 'window': 1}


class LoopHarness:
    """A loop with a fake node, and callers on other threads."""

    def __init__(self, pool: ThreadPoolExecutor) -> None:
        """Initialize and start the loop."""
        self.node = FakeNode()
        self.failed = threading.Event()
        node: Any = self.node
        self.loop = ConsensusLoop(node, FakeLinks(), {}, 0.001, self.failed.set)
        self.loop.start()
        self._pool = pool

    def propose(self) -> Future[Any]:
        """Propose on another thread; wait until the node has the command."""
        self.node.requested.clear()
        fut = self._pool.submit(self.loop.propose, COMMAND, WAIT_S)
        assert self.node.requested.wait(WAIT_S)
        return fut

    def complete(self, error: ApricotcartError | None = None) -> None:
        """Complete the newest request."""
        ticket = len(self.node.requests)
        reply = pack({'ok': True})
        completion = Completion(ticket=ticket, reply=reply, error=error)
        self.node.completions = [completion]


def assert_stopped(fut: Future[Any]) -> None:
    """Assert that a caller fails because the loop stops, not by timeout."""
    error = fut.exception(WAIT_S)
    assert isinstance(error, UnavailableError)
    assert error.message == 'this host is stopping'


@pytest.fixture
def harness() -> Iterator[LoopHarness]:
    """Return a running loop."""
    with ThreadPoolExecutor() as pool:
        running = LoopHarness(pool)
        yield running
        running.loop.stop()


def test_propose_outcomes(harness: LoopHarness) -> None:
    """Guards against a reply or command that is changed on its way."""
    fut = harness.propose()
    harness.complete()
    assert fut.result(WAIT_S) == {'ok': True}
    command = unpack(harness.node.requests[0])
    assert command.pop('at_ms') > 0
    assert command == COMMAND


@pytest.mark.parametrize('error', [not_leader_error(), unknown_outcome_error()])
def test_propose_keeps_error(
    harness: LoopHarness, error: ApricotcartError
) -> None:
    """Guards against an unknown outcome that is reported as not executed."""
    fut = harness.propose()
    harness.complete(error)
    assert fut.exception(WAIT_S) is error


def test_propose_late_is_unknown(harness: LoopHarness) -> None:
    """Guards against a timeout that is reported as not executed.

    The node completes the command after its caller has timed out, which must
    not affect the next caller.
    """
    with pytest.raises(UnavailableError):
        harness.loop.propose(COMMAND, 0)
    assert harness.node.requested.wait(WAIT_S)
    fut = harness.propose()
    harness.complete()
    assert fut.result(WAIT_S) == {'ok': True}


def test_failed_node_fails_callers(harness: LoopHarness) -> None:
    """Guards against callers that wait for a failed node."""
    waiting = [harness.propose(), harness.propose()]
    harness.node.role = Role.FAILED
    for fut in waiting:
        assert_stopped(fut)
    assert harness.failed.is_set()
    with pytest.raises(UnavailableError):
        harness.loop.barrier(WAIT_S)


def test_stopped_loop_fails_callers(harness: LoopHarness) -> None:
    """Guards against a stop that waits for the timeouts of callers."""
    fut = harness.propose()
    harness.loop.stop()
    assert_stopped(fut)
    assert not harness.failed.is_set()


def test_failed_thread_stops_process(harness: LoopHarness) -> None:
    """Guards against a process that runs without its consensus thread."""
    fut = harness.propose()
    message: Any = 'not a message'
    harness.loop.deliver(message)
    assert_stopped(fut)
    assert harness.failed.wait(WAIT_S)


def test_readers_during_disk_sync(harness: LoopHarness) -> None:
    """Guards against a lease check that waits for a disk sync.

    The deadline of a request is computed from the time before the check, so
    after a slow check the request may last beyond the end of the lease.
    """
    sync_started = threading.Event()
    sync_may_end = threading.Event()

    def sync_disk() -> None:
        sync_started.set()
        assert sync_may_end.wait(2 * WAIT_S)

    harness.node.lease = 5
    harness.node.on_flush = sync_disk
    assert sync_started.wait(WAIT_S)
    with ThreadPoolExecutor() as pool:
        readers: list[Future[Any]] = [
            pool.submit(harness.loop.lease_until),
            pool.submit(harness.loop.status),
        ]
        finished = wait(readers, WAIT_S).done
        sync_may_end.set()
    assert len(finished) == 2
    assert readers[0].result() in {0, 5}
    assert readers[1].result()['role'] == 'leader'
