"""Raft consensus: elections, replication, reads, snapshots, membership."""
