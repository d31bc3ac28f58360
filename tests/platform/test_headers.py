"""Guards against headers that disclose or forge data sent to an endpoint."""

from __future__ import annotations

import pytest

from apricotcart.gateway.api import EndpointRequestMetadata
from apricotcart.platform.headers import PlatformHeaderCodec
from apricotcart.web.errors import RequestError


def _metadata(last_event_id: str = '') -> EndpointRequestMetadata:
    return EndpointRequestMetadata(
        endpoint_id='i-1',
        wait_s=1.5,
        customer='guild',
        urgency=2,
        last_event_id=last_event_id,
    )


def _sent(*headers: tuple[str, str], last: str = '') -> list[tuple[str, str]]:
    return PlatformHeaderCodec().build_endpoint_headers(
        list(headers), _metadata(last)
    )


def test_endpoint_headers_omit_key() -> None:
    sent = _sent(('Key', 'secret'), ('X-Note', 'n'))
    assert ('X-Note', 'n') in sent
    assert 'secret' not in str(sent)


@pytest.mark.parametrize(
    'name',
    [
        'Tenant',
        'Pin-Ms',
        'Cache-Hold',
        'Kv-Backup',
        'Kv-From',
        'Kv-Fetch',
        'Request-Priority',
        'expect-instance',
        'Expect-Version',
        'DEADLINE-MS',
    ],
)
def test_endpoint_headers_drop_reserved_headers(name: str) -> None:
    sent = _sent((name, 'forged'))
    assert 'forged' not in [text for _, text in sent]


def test_endpoint_headers_drop_hop_by_hop_headers() -> None:
    sent = _sent(
        ('Connection', 'X-Hop, keep-alive'),
        ('X-Hop', '1'),
        ('Transfer-Encoding', 'chunked'),
        ('Content-Length', '4'),
    )
    names = {name.lower() for name, _ in sent}
    assert not names & {
        'connection',
        'x-hop',
        'transfer-encoding',
        'content-length',
    }


def test_endpoint_headers_include_deadline_and_endpoint() -> None:
    sent = dict(_sent(('Deadline-Ms', '9000')))
    assert sent['Deadline-Ms'] == '1500'
    assert sent['Expect-Instance'] == 'i-1'
    assert sent['Tenant'] == 'guild'


def test_endpoint_headers_replace_last_event_on_resume() -> None:
    sent = _sent(('Last-Event-Id', '3'), last='9')
    assert [text for name, text in sent if name == 'Last-Event-Id'] == ['9']
    assert ('Last-Event-Id', '3') in _sent(('Last-Event-Id', '3'))


def test_endpoint_headers_replace_cache_source() -> None:
    """Guards against a caller that selects the source of a KV cache copy."""
    metadata = _metadata()
    metadata.cache_source = '10.0.0.1:80'
    sent = PlatformHeaderCodec().build_endpoint_headers(
        [('kv-fetch', '10.9.9.9:1')],
        metadata,
    )
    sources = [text for name, text in sent if name.lower() == 'kv-fetch']
    assert sources == ['10.0.0.1:80']


def test_request_headers_parse_prompt() -> None:
    metadata = PlatformHeaderCodec().parse_request_headers(
        [
            ('attempt-id', 'x1'),
            ('Token-Usage', '1460,80'),
            ('Prompt-Prefix', '5c:800,91:410, e4:250'),
            ('Deadline-Ms', '15000'),
        ],
    )
    assert (metadata.prompt_tokens, metadata.output_tokens) == (1460, 80)
    assert [part.tokens for part in metadata.parts] == [800, 410, 250]
    assert metadata.wait_s == 15


@pytest.mark.parametrize(
    'header',
    [
        ('Deadline-Ms', 'soon'),
        ('Deadline-Ms', '-4'),
        ('Token-Usage', '12'),
        ('Prompt-Prefix', '5c'),
    ],
)
def test_request_headers_reject_malformed(header: tuple[str, str]) -> None:
    with pytest.raises(RequestError):
        PlatformHeaderCodec().parse_request_headers([header])


def test_response_headers_parse_not_run_load_and_close() -> None:
    metadata = PlatformHeaderCodec().parse_response_headers(
        [
            ('Not-Executed', '1'),
            ('Server-Load', '3,1,8'),
            ('Connection', 'close'),
        ],
        200,
    )
    assert metadata.is_not_run
    assert metadata.load is not None and metadata.load.waiting == 1
    assert metadata.keeps_s == 0


def test_caller_headers_drop_internal_headers() -> None:
    forwarded = PlatformHeaderCodec().build_caller_headers(
        [('Server-Stamp', 's'), ('Server-Load', '1,0,8'), ('Date', 'd')],
    )
    assert forwarded == [('Server-Stamp', 's'), ('Date', 'd')]


@pytest.mark.parametrize(
    ('texts', 'limit'),
    [
        ([], None),
        (['1'], 1),
        (['0.5'], 0.5),
        (['0'], 0),
        (['1e3'], 1000),
        (['2', '1'], 1),
        (['1', 'x'], 1),
    ],
)
def test_limit_of_an_endpoint_is_read(
    texts: list[str], limit: float | None
) -> None:
    headers = [('Server-Limit', text) for text in texts]
    metadata = PlatformHeaderCodec().parse_response_headers(headers, 200)
    assert metadata.notice.limit_per_s == limit
    assert not metadata.notice.is_limit_unreadable


@pytest.mark.parametrize(
    'text',
    ['', '-1', 'nan', 'inf', '1e400', '9' * 400, '١', '1 2', '0x1', 'x'],
)
def test_unreadable_limit_is_no_limit_and_no_end_of_one(text: str) -> None:
    headers = [('Server-Limit', text)]
    metadata = PlatformHeaderCodec().parse_response_headers(headers, 200)
    assert metadata.notice.limit_per_s is None
    assert metadata.notice.is_limit_unreadable


def test_limits_are_not_passed_on_to_callers() -> None:
    headers = [('Server-Limit', '1'), ('Warmup-Ms', '9'), ('X-Note', 'n')]
    passed_on = PlatformHeaderCodec().build_caller_headers(headers)
    assert passed_on == [('X-Note', 'n')]


@pytest.mark.parametrize(
    ('texts', 'rejections'),
    [
        ([], None),
        (['3'], 3),
        (['0'], 0),
        ([' 20 '], 20),
        (['2.9'], 2),
        (['5', '4'], 4),
        (['5', 'x'], 5),
    ],
)
@pytest.mark.parametrize('status', [200, 503])
def test_rejections_that_an_endpoint_withstands_are_read(
    texts: list[str], rejections: int | None, status: int
) -> None:
    headers = [('Server-Brittle', text) for text in texts]
    metadata = PlatformHeaderCodec().parse_response_headers(headers, status)
    assert metadata.notice.rejections_per_s == rejections
    assert not metadata.notice.is_rejections_unreadable


@pytest.mark.parametrize('text', ['', '-1', 'nan', '9' * 400, '1 2', 'x'])
def test_unreadable_rejections_say_nothing(text: str) -> None:
    """Guards against a word that ends or begins with a damaged header."""
    headers = [('Server-Brittle', text)]
    metadata = PlatformHeaderCodec().parse_response_headers(headers, 200)
    assert metadata.notice.rejections_per_s is None
    assert metadata.notice.is_rejections_unreadable


def test_rejections_are_not_passed_on_to_callers() -> None:
    headers = [('Server-Brittle', '1'), ('X-Note', 'n')]
    passed_on = PlatformHeaderCodec().build_caller_headers(headers)
    assert passed_on == [('X-Note', 'n')]


@pytest.mark.parametrize('text', ['9' * 400, '1' + '0' * 16, '-1', '', 'x'])
def test_time_limit_that_is_no_time_is_refused(text: str) -> None:
    """Guards against numbers that raise errors outside our own."""
    with pytest.raises(RequestError):
        PlatformHeaderCodec().parse_request_headers([('Deadline-Ms', text)])


@pytest.mark.parametrize(
    ('text', 'keeps_s'),
    [
        ('timeout=5', 5),
        ('timeout=\u00b2', None),
        ('timeout=\u0665', None),
        ('timeout=' + '9' * 400, 3600),
    ],
)
def test_keep_alive_time_is_read_from_digits_only(
    text: str, keeps_s: float | None
) -> None:
    headers = [('Keep-Alive', text)]
    metadata = PlatformHeaderCodec().parse_response_headers(headers, 200)
    assert metadata.keeps_s == keeps_s


@pytest.mark.parametrize(
    'text', ['', '1,2', 'x,0,8', '1,2,' + '9' * 5000, '1,2,3,4']
)
def test_unreadable_load_is_none(text: str) -> None:
    headers = [('Server-Load', text)]
    metadata = PlatformHeaderCodec().parse_response_headers(headers, 200)
    assert metadata.load is None


@pytest.mark.parametrize(
    ('texts', 'pause_s'),
    [
        ([], 0),
        (['3'], 3),
        (['0.25'], 0.25),
        (['0'], 0),
        (['1', '4'], 4),
        (['-1'], 0),
        (['nan'], 0),
        (['9' * 400], 0),
        (['86400'], 300),
        (['Sat, 05 Dec 2026 09:00:00 GMT'], 0),
    ],
)
def test_pause_of_an_endpoint_is_read(texts: list[str], pause_s: float) -> None:
    """No value raises, and none holds an endpoint back for hours."""
    headers = [('Retry-After', text) for text in texts]
    for status, expected in ((503, pause_s), (429, pause_s), (200, 0)):
        metadata = PlatformHeaderCodec().parse_response_headers(headers, status)
        assert metadata.notice.pause_s == expected


@pytest.mark.parametrize(
    ('texts', 'cold_s'),
    [
        ([], None),
        (['0'], 0),
        (['2500'], 2.5),
        (['1000', '2000'], 2),
        (['x', '1000'], 1),
        (['-1'], None),
        (['1e300'], 120),
    ],
)
def test_time_for_which_an_endpoint_is_cold_is_read(
    texts: list[str], cold_s: float | None
) -> None:
    headers = [('Warmup-Ms', text) for text in texts]
    metadata = PlatformHeaderCodec().parse_response_headers(headers, 200)
    assert metadata.notice.cold_s == cold_s


def test_token_counts_are_bounded() -> None:
    """Guards against loads of all hosts whose sum has over 64 bits."""
    metadata = PlatformHeaderCodec().parse_request_headers(
        [
            ('Token-Usage', '848500000000,1000000000000'),
            ('Length-Hint', '1000000000000'),
            ('Prompt-Prefix', 'aa:1000000000000'),
            ('Deadline-Ms', '1000000000000000'),
        ]
    )
    counts = (
        metadata.prompt_tokens,
        metadata.output_tokens,
        metadata.length_hint,
        metadata.parts[0].tokens,
    )
    assert max(counts) <= 10_000_000
    assert metadata.wait_s is not None
    assert metadata.wait_s <= 24 * 3600


@pytest.mark.parametrize(
    'name', ['Token-Usage', 'Length-Hint', 'Prompt-Prefix', 'Deadline-Ms']
)
def test_refusals_do_not_repeat_headers(name: str) -> None:
    """Guards against refusals that are larger than what was sent."""
    with pytest.raises(RequestError) as refused:
        PlatformHeaderCodec().parse_request_headers([(name, '\x01x' * 10_000)])
    assert name.lower() in refused.value.message
    assert len(refused.value.message) < 200


@pytest.mark.parametrize('length', [15_000, 60_000])
def test_ids_of_clients_are_kept_as_short_keys(length: int) -> None:
    """Guards against tables whose entries are as large as a client likes."""
    first, second = ('a' * length, 'a' * (length - 1) + 'b')
    metadata = PlatformHeaderCodec().parse_request_headers(
        [('Prompt-Prefix', f'{first}:4,{second}:4,ab:4'), ('Resumes', first)]
    )
    keys = [part.part_id for part in metadata.parts]
    assert len(set(keys)) == 3
    assert max(map(len, [*keys, metadata.resumes])) <= 128
    assert keys[2] == 'ab'
