"""Stops a built entry host while it streams; part of scripts/build --check."""

from __future__ import annotations

import sys
import tempfile
import threading
from contextlib import ExitStack
from pathlib import Path

import psutil

from support.cluster import Cluster
from support.demo import start

_TOKENS = 400


def main() -> int:
    """Check the program that is given on the command line."""
    program = str(Path(sys.argv[1]).resolve())
    with ExitStack() as stack:
        name = stack.enter_context(tempfile.TemporaryDirectory())
        cluster, secret = start(Path(name), program=(program,), entries=1)
        stack.callback(cluster.stop)
        return _check(cluster, secret)


def _check(cluster: Cluster, secret: str) -> int:
    child = cluster.children['e1']
    children = psutil.Process(child.pid).children()
    reply = cluster.http.request(
        'POST',
        f'{cluster.entry_addresses["e1"].url}/v1/chat/completions',
        json={
            'model': 'draft',
            'messages': [{'role': 'user', 'content': 'a long answer'}],
            'stream': True,
            'max_tokens': _TOKENS,
            'ignore_eos': True,
        },
        headers={'Authorization': f'Bearer {secret}'},
        preload_content=False,
        timeout=60,
    )
    codes: list[int] = []
    stopper = threading.Thread(target=lambda: codes.append(child.stop()))
    stopper.start()
    body = b''.join(reply.stream(65_536))
    was_running = not codes
    stopper.join()
    is_complete = body.rstrip().endswith(b'[DONE]')
    sys.stdout.write(
        f'children {len(children)}, stream whole {is_complete}, host still'
        f' running at its last byte {was_running}, exit code {codes[0]}\n',
    )
    return 0 if not children and is_complete and codes == [0] else 1


if __name__ == '__main__':
    sys.exit(main())
