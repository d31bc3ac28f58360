"""One of three workers writes bodies that never end.

By turns, the trailer section after the last chunk of its answer has no end,
or its answer is preceded by a late answer to another request, whose body has
none.
"""

import itertools
import threading
import time

from harness import (
    TROUBLE,
    Deployment,
    call,
    desired_state,
    main,
    route,
)

TIMEOUT_MS = 1500
DEADLINE_MS = 3000
SLACK_S = 0.5
CALLERS = 8
PAUSE_S = 0.1
SECONDS = 30
# Rate of the bytes on one channel: 400 kB/s.
BLOCK_BYTES = 4000
BLOCK_PAUSE_S = 0.01

turns = itertools.count()


def endless_body(worker, conn, request):
    worker.note_run(request)
    in_trailer = next(turns) % 2 == 0
    what = (
        'trailers after its answer'
        if in_trailer
        else 'a late answer to another request before its answer'
    )
    attempt = request.get('attempt-id')
    worker.record.add(f'worker {worker.name}: {attempt}: {what}, without end')
    answered = attempt if in_trailer else 'c0-earlier'
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'Attempt-Id: {answered}\r\n'
        f'Server-Stamp: stamp.{worker.name}\r\n'
        'Content-Type: application/json\r\n'
        'Transfer-Encoding: chunked\r\n\r\n'
    ).encode()
    if in_trailer:
        body = worker.body_of(request)
        head += b'%x\r\n%s\r\n0\r\n' % (len(body), body)
        line = b'X-Fill: ' + b'a' * 90 + b'\r\n'
        block = line * (BLOCK_BYTES // len(line))
    else:
        block = b'%x\r\n%s\r\n' % (BLOCK_BYTES, b'a' * BLOCK_BYTES)
    conn.sendall(head)
    try:
        while True:
            conn.sendall(block)
            time.sleep(BLOCK_PAUSE_S)
    finally:
        worker.record.add(
            f'worker {worker.name}: the channel of {attempt} is closed'
        )


def case(folder):
    deployment = Deployment(folder, control=3, entry=2)
    record = deployment.record
    try:
        workers = [
            deployment.worker('pressroom', f'i-press-{n}') for n in range(3)
        ]
        workers[0].on_request = endless_body if TROUBLE else None
        deployment.start(
            desired_state(
                [
                    route(
                        'book', '/book/', 'unsafe', 'pressroom',
                        timeout_ms=TIMEOUT_MS,
                    ),
                    route(
                        'look', '/look/', 'safe', 'pressroom',
                        timeout_ms=TIMEOUT_MS,
                    ),
                ],
                ['pressroom'],
            )
        )
        until = time.monotonic() + SECONDS
        answers = []
        lock = threading.Lock()

        def ask(caller):
            number = 0
            while time.monotonic() < until:
                number += 1
                is_order = number % 2
                answer = call(
                    record,
                    deployment.entry_address(number % 2),
                    '/book/seal' if is_order else '/look/seal',
                    f'c{caller}-{number}',
                    method='POST' if is_order else 'GET',
                    deadline_ms=DEADLINE_MS,
                )
                with lock:
                    answers.append(answer)
                time.sleep(PAUSE_S)

        threads = [
            threading.Thread(target=ask, args=(n,)) for n in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        timeout_s = TIMEOUT_MS / 1000
        open_at_timeout = [a for a in answers if a.took_s > timeout_s]
        late = [a for a in open_at_timeout if a.took_s > timeout_s + SLACK_S]
        never = [a for a in answers if not a.status]
        text = (
            f'{len(answers)} requests; {len(open_at_timeout)} unanswered at '
            f'the timeout of their route, {len(late)} of them still '
            f'{SLACK_S} s later, {len(never)} without any answer until their '
            'deadline'
        )
        record.add(text)
        print(text)
        return len(late) < 8 or len(late) * 2 <= len(open_at_timeout)
    finally:
        deployment.close()


main(__file__, case)
