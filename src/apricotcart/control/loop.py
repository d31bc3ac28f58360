"""Thread that runs the consensus node."""

from __future__ import annotations

import logging
import queue
import threading
import time
from collections.abc import Callable, Mapping
from typing import Any

from apricotcart.codec.packing import pack, unpack
from apricotcart.consensus.api import Role
from apricotcart.consensus.identity import host_name
from apricotcart.consensus.members import MemberChange
from apricotcart.consensus.messages import Message
from apricotcart.consensus.node import Node
from apricotcart.control.api import ReplicatedState, WireMessage
from apricotcart.control.pending_requests import PendingRequests, ReplyFuture
from apricotcart.control.role_log import RoleReporter
from apricotcart.control.suspension import SuspensionReporter
from apricotcart.timers.clock import boot_clock_s
from apricotcart.transport.api import PeerLinks

_LOG = logging.getLogger(__name__)
_NS_PER_MS = 1_000_000
# Maximum number of jobs in one round, so that timers fire in time.
_MAX_JOBS_PER_ROUND = 512

Job = Callable[[float], None]


class JobQueue:
    """Queue of jobs from other threads for the consensus thread."""

    __slots__ = ('_jobs',)

    def __init__(self) -> None:
        self._jobs: queue.SimpleQueue[Job] = queue.SimpleQueue()

    def put(self, job: Job) -> None:
        """Add a job."""
        self._jobs.put(job)

    def get_until(self, until: float) -> list[Job]:
        """Return queued jobs; wait for the first one.

        Parameters
        ----------
        until : float
            Time on the boot clock, in seconds, at which to stop waiting.
        """
        jobs: list[Job] = []
        wait_s = max(0, until - boot_clock_s())
        try:
            jobs.append(self._jobs.get(timeout=wait_s))
        except queue.Empty:
            return jobs
        while len(jobs) < _MAX_JOBS_PER_ROUND and not self._jobs.empty():
            jobs.append(self._jobs.get())
        return jobs


class PublishedStatus:
    """Status of the node after its last round, for other threads.

    It is read without the lock, because that is held during disk syncs. The
    end of a lease remains valid after the round, since no other node is
    elected before that time.

    Parameters
    ----------
    node : Node
        Consensus node; read only on the consensus thread.

    Attributes
    ----------
    is_recovered : bool
        Whether the node has applied all that it ever applied.
    lease_until : float
        End of the leader lease on the boot clock, in seconds.
    members_index : int
        Index of the log entry that set the current members.
    voter_sets : tuple of list of str
        Voters of the current members and of the committed ones.
    """

    __slots__ = (
        '_status',
        'is_recovered',
        'lease_until',
        'members_index',
        'voter_sets',
    )

    def __init__(self, node: Node) -> None:
        self.lease_until = node.lease_expires_at()
        self.is_recovered = node.is_recovered
        self.members_index = node.members_index
        self.voter_sets = (node.members.voters, node.committed_members.voters)
        self._status: WireMessage = {
            'role': str(node.role),
            'term': node.term,
            'leader': node.leader_id,
            'commit_index': node.commit_index,
        }
        self._status['members'] = node.members.to_wire()
        self._status['answering'] = node.responsive_members()

    def to_wire(self) -> WireMessage:
        """Return the status as a mapping."""
        return dict(self._status)


class ConsensusLoop(ReplicatedState):
    """Runs a consensus node on one thread for callers on other threads.

    Parameters
    ----------
    node : Node
        Consensus node; accessed only by the thread of this loop.
    links : PeerLinks
        Sends messages to the other control hosts.
    addresses : mapping of str to str
        Peer address by host name.
    tick_interval_s : float
        Time between two ticks in seconds.
    on_failed : callable
        Called once when the node has failed and the process must stop.

    Attributes
    ----------
    published : PublishedStatus
        Status after the last round.
    """

    __slots__ = (
        '_addresses',
        '_pending',
        '_jobs',
        '_links',
        '_node',
        '_on_failed',
        '_roles',
        '_stopping',
        '_suspension',
        '_thread',
        '_tick_interval_s',
        'lock',
        'published',
    )

    def __init__(
        self,
        node: Node,
        links: PeerLinks,
        addresses: Mapping[str, str],
        tick_interval_s: float,
        on_failed: Callable[[], None],
    ) -> None:
        self._node = node
        self._links = links
        self._addresses = addresses
        self._tick_interval_s = tick_interval_s
        self._on_failed = on_failed
        self._jobs = JobQueue()
        self._pending = PendingRequests()
        self._suspension = SuspensionReporter()
        self._roles = RoleReporter()
        self.published = PublishedStatus(node)
        self._stopping = threading.Event()
        # Held while the node applies entries. Other threads that read the
        # state machine must hold it too.
        self.lock = threading.RLock()
        self._thread = threading.Thread(
            target=self._run,
            daemon=True,
            name='consensus',
        )

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop the thread and wait until it has ended."""
        self._stopping.set()
        self._thread.join()

    def propose(self, command: WireMessage, timeout_s: float) -> WireMessage:
        """Commit a command and return the reply of the state machine."""
        stamped = {**command, 'at_ms': _wall_ms()}
        blob = pack(stamped)
        reply = self._request(
            lambda now: self._node.propose(now, blob),
            timeout_s,
        )
        fields: WireMessage = unpack(reply)
        return fields

    def barrier(self, timeout_s: float, *, is_settled: bool = False) -> None:
        """Wait until this host has applied all commands committed earlier.

        Parameters are those of `ReplicatedState.barrier`.
        """
        self._request(
            lambda now: self._node.read(now, is_settled=is_settled), timeout_s
        )

    def change_members(self, change: MemberChange, timeout_s: float) -> Any:
        """Start a membership change and return the resulting members."""
        reply = self._request(
            lambda now: self._node.change_members(now, change),
            timeout_s,
        )
        return unpack(reply)

    def deliver(self, message: Message) -> None:
        """Queue a message from another control host."""
        self._jobs.put(lambda now: self._node.receive(now, message))

    def lease_until(self) -> float:
        """Return the end of the leader lease on the boot clock, in seconds."""
        return self.published.lease_until

    def term(self) -> int:
        """Return the current term."""
        return self._node.term

    def leader_name(self) -> str:
        """Return the name of the leading control host, or an empty string."""
        return host_name(self._node.leader_id)

    def status(self) -> WireMessage:
        """Return role, term, leader, commit index and members."""
        return self.published.to_wire()

    def _request(
        self, action: Callable[[float], int], timeout_s: float
    ) -> bytes:
        return self._pending.wait(
            lambda fut: self._jobs.put(
                _request_job(self._pending, action, fut)
            ),
            timeout_s,
        )

    def _run(self) -> None:
        try:
            self._run_rounds()
        except Exception:
            # The state of the node is undefined after an exception.
            _LOG.exception('the consensus thread failed')
            self._on_failed()
        finally:
            self._pending.close()

    def _run_rounds(self) -> None:
        next_tick = boot_clock_s()
        while not self._stopping.is_set():
            jobs = self._jobs.get_until(next_tick)
            with self.lock:
                next_tick = self._run_round(jobs, next_tick)
            if self._node.role is Role.FAILED:
                self._on_failed()
                return

    def _run_round(self, jobs: list[Job], next_tick: float) -> float:
        now = boot_clock_s()
        for job in jobs:
            job(now)
        if now >= next_tick:
            self._node.tick(now)
            next_tick = now + self._tick_interval_s
        self._flush()
        node = self._node
        self._suspension.observe(now, node.role, node.term)
        self._roles.observe(now, node.role, node.term, node.leader_id)
        return next_tick

    def _flush(self) -> None:
        messages = self._node.drain_outbox()
        self.published = PublishedStatus(self._node)
        for message in messages:
            address = self._addresses.get(host_name(message.to_id))
            if address is not None:
                self._links.send(address, message.to_wire())
        for completion in self._node.drain_completions():
            self._pending.complete(completion)


def _request_job(
    pending: PendingRequests, action: Callable[[float], int], fut: ReplyFuture
) -> Job:
    return lambda now: pending.register(action(now), fut)


def _wall_ms() -> int:
    return time.time_ns() // _NS_PER_MS
