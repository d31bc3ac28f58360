"""Settings and time constants of a Raft node."""

from __future__ import annotations

from apricotcart.codec.record import Record

# Length of the leader's lease, measured from the send of the heartbeats that
# a quorum has answered.
LEASE_S = 2.0
# A voter that received a message from a leader grants no vote for this long.
# It exceeds the lease by 2.5%, which allows for that much clock drift between
# two hosts.
VOTE_GUARD_S = 2.05
# The minimum exceeds the vote guard. The maximum, one failed attempt and the
# election itself fit into the 3 s allowed for the takeover by a new leader.
ELECTION_TIMEOUT_MIN_S = 2.1
ELECTION_TIMEOUT_MAX_S = 2.4
# Delay after a failed election attempt: longer than a round trip and a sync. It
# doubles with each attempt in a row up to the maximum factor, so that hosts
# which take longer for these elect a leader too.
ELECTION_RETRY_MIN_S = 0.1
ELECTION_RETRY_MAX_S = 0.3
ELECTION_RETRY_MAX_FACTOR = 8
# Additional delay after a vote for another node, long enough for its first
# message as the leader to arrive.
ELECTION_AFTER_GRANT_S = 0.4
# Ten heartbeats fit into a lease, so that the loss of a few does not end it.
HEARTBEAT_INTERVAL_S = 0.2

MAX_BATCH_BYTES = 262144
MAX_BATCH_ENTRIES = 512
MAX_APPENDS_IN_FLIGHT = 8
# Proposals are rejected beyond this many uncommitted bytes, which bounds the
# memory of a leader that cannot reach its followers.
MAX_UNCOMMITTED_BYTES = 8388608
SNAPSHOT_CHUNK_BYTES = 262144
SNAPSHOT_EVERY_ENTRIES = 5000
# A log that has grown by this much is compacted earlier, which bounds the
# memory of a node with large entries.
SNAPSHOT_EVERY_BYTES = 8388608
# Size of an entry besides its payload, in memory and in a frame.
ENTRY_OVERHEAD_BYTES = 150
# Entries retained before a snapshot, so that a slightly lagging follower needs
# no snapshot.
SNAPSHOT_TRAILING_ENTRIES = 500
SNAPSHOT_TRAILING_BYTES = 2097152
# A learner that lags the commit index by at most this many entries is caught
# up: its promotion to voter delays commits by at most one batch.
CATCH_UP_LAG_ENTRIES = 64


class NodeConfig(Record):
    """Settings of one node.

    Parameters
    ----------
    node_id : str
        Identity of the node: name and incarnation of its host.
    snapshot_every : int
        Number of applied entries between two snapshots.
    snapshot_trailing : int
        Number of log entries retained before a snapshot.
    chunk_bytes : int
        Size of the chunks in which a snapshot is sent, in bytes.
    guards_restart : bool
        Whether a restarted node grants no vote for the vote guard time.
        Without this, the lease of a leader may still be valid after its
        successor is elected, so the successor must wait for the length of
        a lease before it relies on its own.
    """

    __slots__ = (
        'chunk_bytes',
        'guards_restart',
        'node_id',
        'snapshot_every',
        'snapshot_trailing',
    )

    def __init__(
        self,
        *,
        node_id: str,
        snapshot_every: int = SNAPSHOT_EVERY_ENTRIES,
        snapshot_trailing: int = SNAPSHOT_TRAILING_ENTRIES,
        chunk_bytes: int = SNAPSHOT_CHUNK_BYTES,
        guards_restart: bool = True,
    ) -> None:
        self.node_id = node_id
        self.snapshot_every = snapshot_every
        self.snapshot_trailing = snapshot_trailing
        self.chunk_bytes = chunk_bytes
        self.guards_restart = guards_restart
