"""Host names in the node identities of the replicated log."""

from __future__ import annotations

_SEPARATOR = '.'
# All first voters have the same fixed incarnation, so that each of them can
# write the same list of voters without contacting the others.
FIRST_INCARNATION = '0'


def first_node_id(name: str) -> str:
    """Return the identity of a first voter of a new cluster."""
    return f'{name}{_SEPARATOR}{FIRST_INCARNATION}'


def host_name(node_id: str) -> str:
    """Return the name of the host that an identity belongs to."""
    return node_id.rpartition(_SEPARATOR)[0]
