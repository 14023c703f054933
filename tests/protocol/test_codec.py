"""Tests the encoding of envelopes and the rejection of bad frames."""

import pytest

from sassafrasgate.core.errors import MessageError
from sassafrasgate.core.jobs import JobSpec
from sassafrasgate.core.jobs import JobState
from sassafrasgate.core.jobs import Outcome
from sassafrasgate.protocol.codec import decode_envelope
from sassafrasgate.protocol.codec import encode_envelope
from sassafrasgate.protocol.codec import Envelope
from sassafrasgate.protocol.messages import JobView
from sassafrasgate.protocol.messages import Submit


def test_submit_round_trip_keeps_payload_bytes():
    spec = JobSpec('orders', '17', payload=bytes(range(256)))
    envelope = Envelope(7, False, 2, 1500, Submit('s', 'j', spec, 1.0))
    assert decode_envelope(encode_envelope(envelope)) == envelope


def test_job_view_round_trip_keeps_nested_outcome():
    outcome = Outcome(JobState.FINISHED, output=b'\x00done', size=5)
    view = JobView('j', JobState.FINISHED, hosts=('h1',), outcome=outcome)
    envelope = Envelope(7, True, 1, 0, view)
    assert decode_envelope(encode_envelope(envelope)) == envelope


@pytest.mark.parametrize(
    'frame',
    [b'', b'\xff' * 9, b'\x80', encode_envelope.__doc__.encode()],
)
def test_bad_frame_raises_message_error_with_a_remedy(frame):
    with pytest.raises(MessageError, match='same release'):
        decode_envelope(frame)


def test_unknown_kind_raises_message_error():
    good = Envelope(1, False, 1, 0, Submit('s', 'j', JobSpec('t', 'k'), 1.0))
    frame = encode_envelope(good).replace(b'submit', b'smubit')
    with pytest.raises(MessageError, match='smubit'):
        decode_envelope(frame)
