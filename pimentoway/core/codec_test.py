"""Tests of decoding JSON and MessagePack."""

import pytest

from pimentoway.core import codec, error


@pytest.mark.parametrize(
    'odd',
    [
        b'%s%s' % (b'[' * 100_000, b']' * 100_000),
        b'1%s' % (b'0' * 5000),
        b'1e999',
        b'"\xff"',
        '"\ud800"',
        b'"%sud800"' % b'\\',
        b'NaN',
    ],
)
def test_undecodable_json_is_a_typed_error(odd: bytes | str) -> None:
    """Callers of the codec expect no other error, whatever a peer sends."""
    with pytest.raises(error.PimentowayError):
        codec.decode_json(odd, object)


@pytest.mark.parametrize(
    'odd', [b'%s\xc0' % (b'\x91' * 100_000), b'\xa1\xff', b'\x91', b'']
)
def test_undecodable_message_is_a_typed_error(odd: bytes) -> None:
    """A node must not end for what another node sends."""
    with pytest.raises(error.PimentowayError):
        codec.decode_packed(odd, object)
