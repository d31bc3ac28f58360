"""Plays bursts against the order of waiting requests and their refusal."""

from __future__ import annotations

from apricotcart.desired.records import Engine
from apricotcart.endpoints.instances import Instance
from apricotcart.gateway.endpoint_state import Need
from apricotcart.gateway.placement import Placement
from apricotcart.gateway.request_queue import (
    Assigned,
    Refused,
    Waiting,
    WaitingRoom,
    patience_s,
    return_after_s,
)


def _room(slots: int) -> tuple[Placement, WaitingRoom]:
    placement = Placement('a')
    placement.list_instances(
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
    return placement, WaitingRoom(placement)


def _waiting(name: str, priority: int, at: float, until: float) -> Waiting:
    return Waiting(
        request_id=name,
        need=Need(service='app'),
        rank=(priority, at),
        refuse_at=until,
        excluded=set(),
    )


def test_decide_urgent_first_then_longest_waiting() -> None:
    _, room = _room(1)
    for name, priority, at in (('low', 2, 0), ('b', 0, 2), ('a', 0, 1)):
        room.add(_waiting(name, priority, at, 9))
    decided = list(room.decide(0))
    assert [each.request_id for each in decided] == ['a', 'b', 'low']


def test_decide_never_refuses_urgent_and_serves_less_urgent() -> None:
    placement, room = _room(1)
    for number in range(3):
        room.add(_waiting(f'first{number}', 0, 0, 9))
    list(room.decide(0))
    room.add(_waiting('low', 2, 0, 1))
    room.add(_waiting('high', 0, 1, 1))
    assert not list(room.decide(0.5))
    row = placement.rows()[0]
    row.placed.pop('first0')
    row.recent = 0
    decided = list(room.decide(2))
    assert isinstance(decided[0], Assigned)
    assert decided[0].request_id == 'high'
    assert isinstance(decided[1], Refused)


def test_decide_refusal_says_when_to_return() -> None:
    placement, room = _room(1)
    placement.list_instances([])
    room.add(_waiting('a', 0, 0, 1))
    assert not list(room.decide(0.9))
    refused = list(room.decide(1))[0]
    assert isinstance(refused, Refused)
    assert refused.retry_after_s > 0
    assert not len(room)


def test_patience_leaves_time_for_the_answer() -> None:
    # Half of the time to the target, a third of the caller's time.
    assert patience_s(2, 12) <= 1
    assert patience_s(4, 3) <= 1


def test_return_spreads_with_the_queue() -> None:
    assert return_after_s(0) < return_after_s(10) < return_after_s(50)
    assert return_after_s(10_000) <= 3


def test_patience_is_longest_for_the_least_urgent() -> None:
    """Reviews and surveys may wait; a refusal costs them their answer."""
    assert patience_s(1.5, 15, level=0) > patience_s(1.5, 15, level=1)
    assert patience_s(1.5, 15, level=0) <= 5


def test_waiting_long_prompt_does_not_hold_up_tight_streams() -> None:
    """Guards against urgent streams refused beside engines with room.

    Seen on sailom-fleet, trouble-3 --seed 907086237603: a survey of a
    customer of the first rank found no room among the engines for long
    prompts, and the chats behind it were refused beside idle engines.
    """
    placement = Placement('a')
    placement.configure({'lm': Engine(slots=8, kv_tokens=100_000)})
    placement.list_instances(
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
    room = WaitingRoom(placement)
    survey = Need(service='lm', prompt_tokens=30_000)
    chat = Need(service='lm', prompt_tokens=800, is_tight=True, level=2)
    for number in range(20):
        room.add(
            Waiting(
                request_id=f'survey{number}',
                need=survey,
                rank=(0, number),
                refuse_at=9,
                excluded=set(),
            ),
        )
    room.add(
        Waiting(
            request_id='chat',
            need=chat,
            rank=(0, 99),
            refuse_at=9,
            excluded=set(),
        ),
    )
    decided = list(room.decide(0))
    assert len(decided) < 21
    assert 'chat' in {each.request_id for each in decided}


def test_long_prompt_without_room_does_not_hold_up_brief_requests() -> None:
    """Guards against brief requests that wait for the room of a long one.

    Seen on csft-sealdesk-grown, quiet-1: short requests of the middle level
    were given up behind long prompts of urgent customers.
    """
    placement = Placement('a')
    placement.configure({'lm': Engine(slots=8, kv_tokens=30_000)})
    placement.list_instances(
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
    room = WaitingRoom(placement)
    needs = {
        'running': Need(service='lm', prompt_tokens=20_000, level=2),
        'long': Need(service='lm', prompt_tokens=25_000, level=2),
        'brief': Need(service='lm', prompt_tokens=900, level=1),
    }
    for place, (name, need) in enumerate(needs.items()):
        room.add(
            Waiting(
                request_id=name,
                need=need,
                rank=(place, 0),
                refuse_at=9,
                excluded=set(),
            ),
        )
    decided = [each.request_id for each in room.decide(0)]
    assert decided == ['running', 'brief']
