"""Requests from entry hosts to the leading control host."""

from __future__ import annotations

from apricotcart.control.entry_hosts import EntryHosts
from apricotcart.control.loop import ConsensusLoop
from apricotcart.distribution.responder import SyncResponder
from apricotcart.errors.tree import ApricotcartError, ClusterError, CodecError
from apricotcart.observability.catalogue import COMMIT_S
from apricotcart.observability.telemetry import Telemetry
from apricotcart.state.machine import ClusterState
from apricotcart.timers.clock import boot_clock_s
from apricotcart.transport.api import RequestHandler, WireMessage

_READ_TIMEOUT_S = 1.0
_COMMIT_TIMEOUT_S = 2.5
# Commands that entry hosts may commit. All others are reserved for operators
# or for this process.
_COMMANDS = frozenset(('order_begin', 'order_finish', 'usage_add'))
_KIND = 'kind'


class ReplacedHostError(ClusterError):
    """A later process of the same entry host has replaced the sender."""

    code = 'host_replaced'
    http_status = 409


class ControlRequests(RequestHandler):
    """Handles syncs and commands while this host leads.

    Parameters
    ----------
    loop : ConsensusLoop
        Commits commands and confirms that this host leads.
    state : ClusterState
        Cluster state; read under the lock of the loop.
    hosts : EntryHosts
        Entry hosts that syncs update.
    telemetry : Telemetry
        Records spans and the duration of commits.
    """

    __slots__ = ('_hosts', '_loop', '_responder', '_telemetry')

    def __init__(
        self,
        loop: ConsensusLoop,
        state: ClusterState,
        hosts: EntryHosts,
        telemetry: Telemetry,
    ) -> None:
        self._telemetry = telemetry
        self._loop = loop
        self._hosts = hosts
        self._responder = SyncResponder(state)

    def answer(self, message: WireMessage) -> WireMessage:
        """Answer one request.

        Raises
        ------
        NotLeaderError, UnavailableError
            If this host does not lead, or no quorum answered in time.
        ReplacedHostError
            If a later process of the entry host has synchronised.
        CodecError
            If the request is unknown or not allowed for entry hosts.
        """
        kind = message.get(_KIND)
        if kind == 'sync':
            return self._sync(message)
        command = message.get('command')
        if kind == 'command' and isinstance(command, dict):
            return self._commit(command, message.get('traceparent'))
        raise CodecError(f'unknown request {kind!r}')

    def _commit(
        self,
        command: WireMessage,
        traceparent: str | None,
    ) -> WireMessage:
        kind = command.get(_KIND)
        if kind not in _COMMANDS:
            raise CodecError(
                f'the command {kind!r} is not allowed for entry hosts'
            )
        hop = self._telemetry.open_hop('commit', traceparent, {_KIND: kind})
        started_at = boot_clock_s()
        try:
            reply = self._loop.propose(command, _COMMIT_TIMEOUT_S)
        except ApricotcartError as exc:
            hop.end(exc.code)
            raise
        hop.end()
        duration_s = boot_clock_s() - started_at
        self._telemetry.metrics.observe(COMMIT_S, duration_s)
        return reply

    def _sync(self, message: WireMessage) -> WireMessage:
        # Without the barrier, a leader that was replaced without noticing
        # would confirm an outdated configuration as current.
        self._loop.barrier(_READ_TIMEOUT_S)
        now = boot_clock_s()
        host = message['host']
        if not self._hosts.on_sync(now, self._loop.term(), message):
            raise ReplacedHostError(
                f'a later process of host {host} has replaced this one'
            )
        with self._loop.lock:
            update = self._responder.packed_update(message['revision'])
        return {
            'ok': True,
            'update': update,
            'hosts': self._hosts.list_for(now, message['hosts']).to_wire(),
            'shares': self._hosts.slot_limits_for(now, host),
            'suspects': self._hosts.suspects_for(host),
        }
