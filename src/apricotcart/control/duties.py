"""Runner of the duties of the leader at the platform."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

from apricotcart.control.duty_plan import Duties, DutyPlan
from apricotcart.control.loop import ConsensusLoop
from apricotcart.errors.tree import ApricotcartError
from apricotcart.provisioning.api import Proposal, Request
from apricotcart.provisioning.client import PlatformClient
from apricotcart.provisioning.outbox import Reply
from apricotcart.timers.clock import boot_clock_s

_LOG = logging.getLogger(__name__)
_TICK_INTERVAL_S = 0.1
_WORKERS = 8
_COMMIT_TIMEOUT_S = 3.0

Pools = dict[str, dict[str, Any]]
Sizes = dict[str, list[Any]]

# A change of one of these fields in any pool rebuilds the duties.
_SIZING_FIELDS = (
    'min_endpoints',
    'max_endpoints',
    'endpoint_slots',
    'endpoint_checks_fencing',
    'endpoint_models',
)


class DutyRunner:
    """Ticks the duties and executes their proposals and requests.

    Parameters
    ----------
    url : str
        Base URL of the platform.
    plan : DutyPlan
        Builds the duties.
    loop : ConsensusLoop
        Commits proposals.
    """

    __slots__ = (
        '_client',
        '_duties',
        '_lock',
        '_loop',
        '_plan',
        '_pools',
        '_stopping',
        '_workers',
    )

    def __init__(self, url: str, plan: DutyPlan, loop: ConsensusLoop) -> None:
        self._plan = plan
        self._loop = loop
        self._pools: Pools = {}
        self._duties = plan.build(self._pools)
        self._client = PlatformClient(url, self._deadline_for)
        self._lock = threading.Lock()
        self._stopping = threading.Event()
        self._workers = ThreadPoolExecutor(_WORKERS, 'platform')

    def start(self) -> None:
        """Start the thread that ticks the duties."""
        threading.Thread(
            target=self._run,
            daemon=True,
            name='duties',
        ).start()

    def stop(self) -> None:
        """Stop after the current tick."""
        self._stopping.set()
        self._workers.shutdown(wait=False, cancel_futures=True)

    def _run(self) -> None:
        while not self._stopping.wait(_TICK_INTERVAL_S):
            try:
                self._tick()
            except Exception:
                _LOG.exception('tick of the duties failed')

    def _tick(self) -> None:
        self._rebuild_if_changed()
        with self._lock:
            duties = self._duties
            duties.tick()
            proposals = duties.leader.take_proposals()
            requests = duties.leader.take_requests()
        for proposal in proposals:
            self._submit(self._propose, duties, proposal)
        for request in requests:
            self._submit(self._send, duties, request)

    def _submit(self, job: Callable[..., None], *args: Any) -> None:
        fut = self._workers.submit(job, *args)
        fut.add_done_callback(_log_failure)

    def _rebuild_if_changed(self) -> None:
        pools = self._plan.pools()
        if _sizing_by_pool(pools) == _sizing_by_pool(self._pools):
            return
        self._pools = pools
        with self._lock:
            self._duties = self._plan.build(pools)

    def _deadline_for(self, now: float, request: Request) -> float | None:
        return self._duties.leader.deadline_for(now, request)

    def _propose(self, duties: Duties, proposal: Proposal) -> None:
        reply: Reply = None
        try:
            reply = self._loop.propose(proposal.command, _COMMIT_TIMEOUT_S)
        except ApricotcartError as exc:
            _LOG.info(
                'command %s was not committed: %s',
                proposal.command['kind'],
                exc,
            )
        with self._lock:
            duties.leader.on_reply(boot_clock_s(), proposal.ticket, reply)

    def _send(self, duties: Duties, request: Request) -> None:
        answer = self._client.send(request)
        with self._lock:
            duties.leader.on_answer(boot_clock_s(), request.ticket, answer)


def _log_failure(fut: Future[None]) -> None:
    # No thread waits for these futures, so their exceptions are logged here.
    if not fut.cancelled() and fut.exception():
        _LOG.error('a duty failed', exc_info=fut.exception())


def _sizing_by_pool(pools: Pools) -> Sizes:
    sizes: Sizes = {}
    for name, spec in pools.items():
        sizes[name] = _sizing_values(spec)
    return sizes


def _sizing_values(spec: dict[str, Any]) -> list[Any]:
    return [spec[field] for field in _SIZING_FIELDS]
