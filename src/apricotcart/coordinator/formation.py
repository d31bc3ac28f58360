"""Bootstraps the replicated log on the seeds, or lets a host join it."""

from __future__ import annotations

import logging
import random

from apricotcart.consensus.identity import FIRST_INCARNATION, first_node_id
from apricotcart.consensus.members import Members
from apricotcart.coordinator.addresses import ip_of
from apricotcart.settings.fleet import FleetConfig
from apricotcart.storage.disk import Disk
from apricotcart.storage.identity import (
    Identity,
    open_identity,
    read_identity,
)
from apricotcart.storage.log_store import initialize_directory

_LOG = logging.getLogger(__name__)


def load_or_create_identity(
    disk: Disk,
    cfg: FleetConfig,
    rng: random.Random,
) -> Identity:
    """Return the identity of this host in the replicated log.

    At the first start of the whole system the seeds become the first voters.
    Any other host with an empty disk creates a new identity and asks to join,
    because it may have lost votes that it cast under an earlier identity.

    Raises
    ------
    StorageError
        If the data folder cannot be used.
    """
    seeds = [ip_of(address) for address in cfg.links.seeds]
    own_ip = cfg.host.address
    is_first_voter = cfg.host.first_start and own_ip in seeds
    if is_first_voter and read_identity(disk) is None:
        members = Members(voters=[first_node_id(ip) for ip in seeds])
        identity = Identity(name=own_ip, incarnation=FIRST_INCARNATION)
        initialize_directory(disk, identity, members)
        _LOG.info(
            'bootstrapping the replicated log with the voters %s',
            ', '.join(seeds),
        )
    return open_identity(disk, own_ip, rng)
