"""Kinds of messages between gateways and coordinators."""

from __future__ import annotations

from types import MappingProxyType
from typing import Final

from apricotcart.codec.envelope import Sealer

# The platform provides no secret store, so this value is not confidential. It
# only rejects foreign messages that reach the ports by mistake.
CLUSTER_SECRET: Final = b'apricotcart fleet'

KIND: Final = 'kind'
# Term of the leader that replied.
TERM: Final = 'term'
# Whether the leader that replied understands the figures of gateways.
SHARES_FIGURES: Final = 'shares_figures'
# Whether the leader that replied understands `HAS_VERSION`.
TAKES_VERSIONS: Final = 'takes_versions'
# Fields of a reply that say what a leader of this build understands.
UNDERSTOOD: Final = MappingProxyType(
    {SHARES_FIGURES: True, TAKES_VERSIONS: True}
)
SYNC: Final = 'sync'
# Tells the leader between two syncs which desired state a gateway obeys.
HAS_VERSION: Final = 'has_version'
# Reply to a sync in compressed form.
DEFLATED_SYNC: Final = 'deflated_sync'
VIEW: Final = 'view'
REPLACE: Final = 'replace'
FETCH: Final = 'fetch'
EVACUATE: Final = 'evacuate'
# Asks a control host whether it understands the message before.
EVACUATION_SUPPORT: Final = 'evacuation_support'
VERSIONS: Final = 'versions'
# Asks a control host what it has applied, whether it leads or not.
APPLIED_STATE: Final = 'applied_state'
LIST: Final = 'list'
STATE_MANIFEST: Final = 'state_manifest'
STATE_BLOCKS: Final = 'state_blocks'
RECORD_ORIGINS: Final = 'record_origins'
FIND_ORIGIN: Final = 'find_origin'


def cluster_sealer() -> Sealer:
    """Return the sealer of the messages between the processes."""
    return Sealer(CLUSTER_SECRET)
