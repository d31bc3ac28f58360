"""Replicated log: election, replication, reads, snapshots, membership."""
