"""Two of four workers spoil one in fifty of their answers.

A spoiled answer has a header line without its colon. Every other one also
breaks off within its body. The worker then closes the channel.
"""

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

ANSWERS_PER_SPOILED = 50
CALLERS = 8
PAUSE_S = 0.1
SECONDS = 30


def spoil(worker, conn, request):
    """Spoil one in fifty answers; None for the sound behaviour."""
    with worker.lock:
        worker.answers = getattr(worker, 'answers', 0) + 1
        number = worker.answers
    if number % ANSWERS_PER_SPOILED:
        return None
    breaks_off = (number // ANSWERS_PER_SPOILED) % 2 == 0
    worker.note_run(request)
    body = worker.body_of(request)
    head = ''.join(
        f'{name}: {value}\r\n' for name, value in worker.stamp_headers(request)
    )
    # The colon of this line is lost.
    head = f'HTTP/1.1 200 OK\r\n{head}Cache-Control no-store\r\n'
    if breaks_off:
        head += f'Content-Length: {len(body)}\r\n\r\n'
        sent = body[: len(body) // 2]
    else:
        head += 'Transfer-Encoding: chunked\r\n\r\n'
        sent = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
    worker.record.add(
        f'worker {worker.name}: spoils its answer to '
        f'{request.get("attempt-id")}, '
        + (f'breaks off after {len(sent)} of {len(body)} bytes'
           if breaks_off else 'body in chunks')
    )
    conn.sendall(head.encode() + sent)
    return False


def case(folder):
    deployment = Deployment(folder, control=3, entry=2)
    record = deployment.record
    try:
        workers = [
            deployment.worker('pressroom', f'i-press-{n}') for n in range(4)
        ]
        for worker in workers[:2]:
            worker.on_request = spoil if TROUBLE else None
        deployment.start(
            desired_state(
                [
                    route('book', '/book/', 'unsafe', 'pressroom'),
                    route('look', '/look/', 'safe', 'pressroom'),
                ],
                ['pressroom'],
            )
        )
        until = time.monotonic() + SECONDS
        counts = {'answered': 0, 'failed': 0, 'wrong': 0}
        lock = threading.Lock()

        def ask(caller):
            number = 0
            while time.monotonic() < until:
                number += 1
                is_order = number % 2
                attempt = f'c{caller}-{number}'
                answer = call(
                    record,
                    deployment.entry_address(number % 2),
                    '/book/seal' if is_order else '/look/seal',
                    attempt,
                    method='POST' if is_order else 'GET',
                )
                time.sleep(PAUSE_S)
                is_success = 200 <= answer.status < 300
                whole = {w.body_of(FakeRequest(attempt)) for w in workers}
                with lock:
                    if not is_success:
                        counts['failed'] += 1
                    elif answer.body in whole:
                        counts['answered'] += 1
                    else:
                        counts['wrong'] += 1
                        record.add(
                            f'WRONG: attempt {attempt} got {answer.status} '
                            f'with {answer.headers} and {answer.body!r}'
                        )

        threads = [
            threading.Thread(target=ask, args=(n,)) for n in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        text = (
            f'{counts["answered"]} whole answers, {counts["failed"]} failures, '
            f'{counts["wrong"]} successes with a body that is not the whole '
            'body of the worker'
        )
        record.add(text)
        print(text)
        return counts['wrong'] == 0
    finally:
        deployment.close()


class FakeRequest:
    """What `Worker.body_of` needs of a request."""

    def __init__(self, attempt):
        self._attempt = attempt

    def get(self, _):
        return self._attempt


main(__file__, case)
