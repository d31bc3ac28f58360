"""Guards against bursts in which urgent requests wait or are refused."""

from __future__ import annotations

import random

from apricotcart.desired.records import Engine
from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.dispatching.endpoint_state import (
    LoadSummary,
    Requirements,
)
from apricotcart.gateway.dispatching.placement import Placement
from apricotcart.gateway.dispatching.queued_request import (
    Assigned,
    QueuedRequest,
    Refused,
    queue_timeout_s,
)
from apricotcart.gateway.dispatching.request_queue import (
    RequestQueue,
    compute_retry_after_s,
)


def _queue(slots: int) -> tuple[Placement, RequestQueue]:
    placement = Placement('a')
    placement.update_instances(
        [
            Instance(
                instance_id='i',
                service='app',
                address='10.0.0.1:80',
                zone='a',
                slots=slots,
                is_ready=True,
            ),
        ],
    )
    return placement, RequestQueue(placement)


def _request(
    name: str, priority: int, queued_at: float, refuse_at: float
) -> QueuedRequest:
    return QueuedRequest(
        request_id=name,
        requirements=Requirements(service='app'),
        rank=(priority, queued_at),
        refuse_at=refuse_at,
        excluded=set(),
    )


def test_decide_most_urgent_first_then_oldest() -> None:
    _, queue = _queue(1)
    for name, priority, queued_at in (('low', 2, 0), ('b', 0, 2), ('a', 0, 1)):
        queue.add(_request(name, priority, queued_at, 9))
    decided = list(queue.decide(0))
    assert [decision.request_id for decision in decided] == ['a', 'b', 'low']


def test_decide_does_not_serve_less_urgent_before_urgent() -> None:
    placement, queue = _queue(1)
    for number in range(3):
        queue.add(_request(f'first{number}', 0, 0, 9))
    list(queue.decide(0))
    queue.add(_request('low', 2, 0, 1))
    queue.add(_request('high', 0, 1, 1))
    assert not list(queue.decide(0.5))
    endpoint = placement.endpoints()[0]
    endpoint.local_requests.pop('first0')
    endpoint.unreported_requests = 0
    decided = list(queue.decide(2))
    assert isinstance(decided[0], Assigned)
    assert decided[0].request_id == 'high'
    assert isinstance(decided[1], Refused)


def test_decide_refusal_has_retry_after() -> None:
    placement, queue = _queue(1)
    placement.update_instances([])
    queue.add(_request('a', 0, 0, 1))
    assert not list(queue.decide(0.9))
    refused = list(queue.decide(1))[0]
    assert isinstance(refused, Refused)
    assert refused.retry_after_s > 0
    assert not len(queue)


def test_queue_timeout_leaves_time_for_the_response() -> None:
    # Half of the target time, a third of the caller's timeout.
    assert queue_timeout_s(2, 12) <= 1
    assert queue_timeout_s(4, 3) <= 1


def test_retry_after_grows_with_the_queue() -> None:
    assert (
        compute_retry_after_s(0)
        < compute_retry_after_s(10)
        < compute_retry_after_s(50)
    )
    assert compute_retry_after_s(10_000) <= 3


def test_queue_timeout_is_longest_for_the_least_urgent() -> None:
    """Guards against refusing requests whose late response is still useful."""
    assert queue_timeout_s(1.5, 15, level=0) > queue_timeout_s(1.5, 15, level=1)
    assert queue_timeout_s(1.5, 15, level=0) <= 5


def test_queued_long_prompt_does_not_block_tight_streams() -> None:
    """Guards against refusing urgent streams while engines are idle.

    Seen on sailom-fleet, trouble-3 --seed 907086237603: a long prompt of a
    customer of the highest priority did not fit on the engines for long
    prompts, and the chats queued behind it were refused although the
    engines for chats were idle.
    """
    placement = Placement('a')
    placement.configure({'lm': Engine(slots=8, kv_tokens=100_000)})
    placement.update_instances(
        Instance(
            instance_id=f'i-{number}',
            service='lm',
            address='10.0.0.1:80',
            zone='a',
            slots=8,
            is_ready=True,
        )
        for number in range(3)
    )
    queue = RequestQueue(placement)
    long_prompt = Requirements(service='lm', prompt_tokens=30_000)
    chat = Requirements(
        service='lm', prompt_tokens=800, is_latency_critical=True, level=2
    )
    for number in range(20):
        queue.add(
            QueuedRequest(
                request_id=f'survey{number}',
                requirements=long_prompt,
                rank=(0, number),
                refuse_at=9,
                excluded=set(),
            ),
        )
    queue.add(
        QueuedRequest(
            request_id='chat',
            requirements=chat,
            rank=(0, 99),
            refuse_at=9,
            excluded=set(),
        ),
    )
    decided = list(queue.decide(0))
    assert len(decided) < 21
    assert 'chat' in {decision.request_id for decision in decided}


def test_long_prompt_that_does_not_fit_does_not_block_short_requests() -> None:
    """Guards against short requests that wait until a long one fits.

    Seen on csft-sealdesk-grown, quiet-1: short requests of the middle level
    timed out behind long prompts of urgent customers.
    """
    placement = Placement('a')
    placement.configure({'lm': Engine(slots=8, kv_tokens=30_000)})
    placement.update_instances(
        [
            Instance(
                instance_id='i',
                service='lm',
                address='10.0.0.1:80',
                zone='a',
                slots=8,
                is_ready=True,
            ),
        ],
    )
    queue = RequestQueue(placement)
    cases = {
        'running': Requirements(service='lm', prompt_tokens=20_000, level=2),
        'long': Requirements(service='lm', prompt_tokens=25_000, level=2),
        'brief': Requirements(service='lm', prompt_tokens=900, level=1),
    }
    for position, (name, requirements) in enumerate(cases.items()):
        queue.add(
            QueuedRequest(
                request_id=name,
                requirements=requirements,
                rank=(position, 0),
                refuse_at=9,
                excluded=set(),
            ),
        )
    decided = [decision.request_id for decision in queue.decide(0)]
    assert decided == ['running', 'brief']


def _tokens(name: str, customer: str) -> QueuedRequest:
    return QueuedRequest(
        request_id=name,
        requirements=Requirements(
            service='app', prompt_tokens=10, customer=customer
        ),
        rank=(0, 0),
        refuse_at=2,
        excluded=set(),
    )


def test_customer_that_runs_its_share_elsewhere_gives_way() -> None:
    """Guards against gateways whose own queue has one customer only.

    The requests of the others wait at another gateway, and its figures are
    used only for a few seconds.
    """
    placement, queue = _queue(1)
    loads = {'app': {'hot': [50, 90, 0, 0, 0, 0], 'a': [10, 20, 0, 0, 0, 0]}}
    placement.update_remote_loads({'i': LoadSummary(1, 60, 0)}, 2)
    queue.joined_loads.update(loads, 0)
    queue.add(_tokens('hot', 'hot'))
    assert not list(queue.decide(0))
    queue.add(_tokens('a', 'a'))
    assert [decision.request_id for decision in queue.decide(1)] == ['a']
    refused = list(queue.decide(2))[0]
    assert isinstance(refused, Refused)
    assert refused.is_over_share
    queue.joined_loads.update(loads, -5)
    queue.add(_tokens('later', 'hot'))
    assert isinstance(next(queue.decide(1.9)), Assigned)


def test_requests_refused_together_do_not_return_together() -> None:
    """Guards against callers that fill the queue again at the same time."""
    placement, _ = _queue(1)
    placement.update_instances([])
    queue = RequestQueue(placement, random.Random(1))
    for number in range(20):
        queue.add(_request(f'r{number}', 0, 0, 1))
    refused = [
        decision
        for decision in queue.decide(1)
        if isinstance(decision, Refused)
    ]
    times_s = [decision.retry_after_s for decision in refused]
    assert min(times_s) >= compute_retry_after_s(1)
    assert max(times_s) > 1.2 * min(times_s)
    assert len(set(times_s)) > 10
