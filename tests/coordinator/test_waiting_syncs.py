"""Guards against syncs that wait for each other at a slow quorum."""

from __future__ import annotations

import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import closing
from typing import Final

from apricotcart.coordinator.leader_client import HOST_TIMEOUT_S
from apricotcart.coordinator.messages import cluster_sealer
from apricotcart.coordinator.server import RPC_WORKERS
from apricotcart.transport.api import RequestHandler, WireMessage
from apricotcart.transport.requests import NngRequestClient, NngRequestServer

# Syncs that 191 gateways have sent within a tenth of a second.
_SYNCS: Final = 64
_QUORUM_S: Final = 0.2


class SlowQuorum(RequestHandler):
    """Answers once a quorum has, which takes its time."""

    def answer(self, message: WireMessage) -> WireMessage:
        time.sleep(_QUORUM_S)
        return {'ok': True}


def test_syncs_of_many_gateways_wait_for_the_quorum_only(
    unused_tcp_port: int,
) -> None:
    address = f'tcp://127.0.0.1:{unused_tcp_port}'
    sealer = cluster_sealer()
    server = NngRequestServer(address, SlowQuorum(), sealer, RPC_WORKERS)
    client = NngRequestClient(address, sealer)
    with closing(server.start()), closing(client):
        client.call({}, 5)
        with ThreadPoolExecutor(_SYNCS) as gateways:
            replies = list(
                gateways.map(
                    lambda _: client.call({}, HOST_TIMEOUT_S), range(_SYNCS)
                )
            )
    assert all(reply['ok'] for reply in replies)
