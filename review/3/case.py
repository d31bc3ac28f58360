"""A control host loses its disk again while it returns; later another one goes.

Host A is killed, loses its disk and starts again with an empty one, several
times, each time soon after the leader has added it. Then it is left alone.
Later host B goes for good and an empty one at another address takes its place.
With TROUBLE=0, A loses its disk only once.
"""

import json
import random
import signal
import threading
import time

from harness import (
    TROUBLE,
    Deployment,
    SetupError,
    call,
    desired_state,
    http_call,
    main,
    route,
)

ROUNDS_MAX = 100
DISTURB_MAX_S = 45.0
# Time from the leader's log line to the next loss of the disk.
AGAIN_S = (0.01, 0.06)
ADDED_TIMEOUT_S = 6.0
# Undisturbed time of A before B goes; `catch_up_s` is 4.
QUIET_S = 10.0
REPLACED_AFTER_S = 2.0
# `recover_s` is 12. The operator reads for `contact_ms` (3 s) and longer.
RECOVER_S = 12.0
READ_S = 8.0


def lose_disk(deployment, host):
    host.signal(signal.SIGKILL)
    host.popen.wait()
    deployment.empty_disk(host)
    deployment.record.add(f'{host.ip}: killed, its disk is lost, starts again')
    host.start()


def wait_until_added(deployment, host, offsets):
    """Return whether some host logs that it has added this one."""
    mark = f'added {host.ip}'.encode()
    until = time.monotonic() + ADDED_TIMEOUT_S
    while time.monotonic() < until:
        for process, offset in offsets.items():
            with process.log.open('rb') as log:
                log.seek(offset)
                if mark in log.read():
                    return True
        time.sleep(0.002)
    return False


def disturb(deployment, host):
    """Lose the disk of a host until a return of it fails, or too often."""
    rng = random.Random()
    until = time.monotonic() + DISTURB_MAX_S
    for number in range(1, ROUNDS_MAX + 1):
        offsets = {
            process: process.log.stat().st_size
            for process in deployment.control
            if process is not host
        }
        lose_disk(deployment, host)
        if not wait_until_added(deployment, host, offsets):
            return number
        if not TROUBLE or time.monotonic() > until:
            return number
        time.sleep(rng.uniform(*AGAIN_S))
    return ROUNDS_MAX


def read_back(deployment):
    """Return the version that any control host gives, None without one."""
    for ip in deployment.control_ips:
        try:
            status, body = http_call(
                ip, deployment.port + 2, 'GET', '/v1/Config.Fetch', timeout=1
            )
        except OSError:
            continue
        if status == 200:
            return json.loads(body)['version']
    return None


def case(folder):
    # Five control hosts, three of them seeds, and one for replacement.
    deployment = Deployment(folder, control=5, entry=2, spare=1, seeds=3)
    record = deployment.record
    stopping = threading.Event()
    statuses = []
    try:
        for number in range(3):
            deployment.worker('pressroom', f'i-press-{number}')
        state = desired_state(
            [route('book', '/book/', 'unsafe', 'pressroom')], ['pressroom']
        )
        deployment.start(state)
        deployment.end_first_start()
        time.sleep(4)
        host_a = deployment.control[2]
        host_b = deployment.control[0]
        rounds = disturb(deployment, host_a)
        record.add(f'{host_a.ip}: left alone after {rounds} losses')
        time.sleep(QUIET_S)
        deployment.replace_state(state)

        def ask():
            number = 0
            while not stopping.is_set():
                number += 1
                answer = call(
                    record, deployment.entry_address(number % 2),
                    '/book/seal', f'o-{number}',
                )
                statuses.append((time.monotonic(), answer.status))
                time.sleep(0.1)

        caller = threading.Thread(target=ask)
        caller.start()
        host_b.signal(signal.SIGKILL)
        record.add(f'{host_b.ip}: goes for good')
        gone_at = time.monotonic()
        time.sleep(REPLACED_AFTER_S)
        spare = deployment.spares[0]
        spare.start()
        record.add(f'{spare.ip}: starts with an empty disk in its place')
        time.sleep(RECOVER_S)
        until = time.monotonic() + READ_S
        version = None
        while version is None and time.monotonic() < until:
            version = read_back(deployment)
            record.add(f'operator: reads back version {version}')
            time.sleep(0.2)
        try:
            deployment.replace_state(state, timeout_s=5)
            is_acked = True
        except SetupError as exc:
            record.add(f'operator: {exc}')
            is_acked = False
        stopping.set()
        caller.join()
        late = [
            status for at, status in statuses if at > gone_at + RECOVER_S
        ]
        text = (
            f'{rounds} losses of the disk of {host_a.ip}; from {RECOVER_S} s '
            f'after another host went: state read back: {version}, change '
            f'acknowledged: {is_acked}, {late.count(200)} of {len(late)} '
            'requests served'
        )
        record.add(text)
        print(text)
        return version is not None
    finally:
        stopping.set()
        deployment.close()


main(__file__, case)
