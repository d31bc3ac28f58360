"""Guards against changes that cost as much as the whole desired state."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from apricotcart.coordinator.state import CoordinatorState
from apricotcart.coordinator.state_blocks import (
    MAX_BLOCK_BYTES,
    CutDocument,
    deflate,
    inflate,
    join,
)
from apricotcart.coordinator.state_transfer import (
    MAX_REPLY_BYTES,
    BlockReply,
    BlockRequest,
    CommittedBlocks,
    StateTransfer,
    StateTransferHandler,
    TransferPlaces,
)
from apricotcart.errors.tree import CodecError


def document_of(seed: int, entries: int) -> bytes:
    """Return a document whose entries have random names."""
    rng = random.Random(seed)
    names = (rng.randbytes(40).hex() for _ in range(entries))
    return b','.join(f'{{"name":"{name}"}}'.encode() for name in names)


@given(st.binary(max_size=200_000))
def test_any_document_is_restored(document: bytes) -> None:
    cut = CutDocument(1, document)
    assert join(cut.manifest, cut.blocks) == document
    assert all(len(block) <= MAX_BLOCK_BYTES for block in cut.blocks.values())


@pytest.mark.parametrize('position', [0, 350_000, 899_000])
def test_insertion_changes_few_blocks(position: int) -> None:
    """Blocks of a fixed length would all differ after the insertion."""
    document = document_of(1, 10_000)
    longer = document[:position] + b'"inserted":1,' + document[position:]
    before = CutDocument(1, document)
    after = CutDocument(2, longer)
    assert len(before.blocks) > 20
    assert len(after.blocks.keys() - before.blocks.keys()) <= 3


def test_damaged_and_oversized_blocks_are_refused() -> None:
    deflated = deflate(bytes(MAX_BLOCK_BYTES + 1))
    for wrong in (deflated, deflate(b'abc')[:-2], b'abc'):
        with pytest.raises(CodecError):
            inflate(wrong)


def test_replies_are_bounded_and_follow_the_newest_version() -> None:
    state = CoordinatorState()
    state.version = 1
    state.document = document_of(1, 5000)
    source = CommittedBlocks(state)
    handler = StateTransferHandler(StateTransfer(source))
    manifest = source.manifest()
    assert manifest is not None
    message = {
        'kind': 'state_blocks',
        **BlockRequest(
            client='g', digests=manifest.digests, missing=9
        ).to_wire(),
    }
    reply = BlockReply.from_wire(handler.answer(dict(message)))
    assert 0 < sum(map(len, reply.blocks)) <= MAX_REPLY_BYTES
    state.version = 2
    state.document = document_of(2, 5000)
    assert not BlockReply.from_wire(handler.answer(message)).blocks
    newer = source.manifest()
    assert newer is not None
    assert newer.version == 2


def test_few_gateways_are_sent_blocks_at_a_time() -> None:
    """Replies to all gateways at once would hold up the syncs."""
    places = TransferPlaces()
    requests = [
        BlockRequest(client=str(number), digests=(), missing=9)
        for number in range(9)
    ]
    assert [places.admit(req, 0) for req in requests].count(True) == 4
    assert places.admit(requests[0], 0.4)
    # Small changes are sent to all; places that are not used are given away.
    small = BlockRequest(client='8', digests=(), missing=1)
    assert places.admit(small, 0.4)
    assert [places.admit(req, 0.6) for req in requests[4:]].count(True) == 3
