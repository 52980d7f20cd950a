"""Tests of the compression of messages between zones and regions.

Links there are billed by volume. A message whose fields are damaged, or that unpacks to
far more than it should, must be a typed error.
"""

import zlib

import hypothesis
import pytest
import test_codec

from savoryhollow import calls, errors
from savoryhollow.platform import headers
from savoryhollow.wire import codec, messages, packing

DICTIONARY = packing.make_dictionary(headers.DIALECT.header_names)
CALL = messages.CallMessage(
    request_id="82cc15129866701a.e81be4f4b4310cfe.92",
    service="huzi35b",
    rank="r-4qfaqwq",
    caller="",
    remaining_us=408_254,
    idempotent=True,
    depth=0,
    attempts_left=2,
    method="GET",
    path="/racu484/ebe436",
    headers=(
        calls.Header("Host", "cuye74.example"),
        calls.Header("User-Agent", "sdk-client/1.9.3"),
        calls.Header("Accept", "*/*"),
        calls.Header("Accept-Encoding", "identity"),
        calls.Header("X-Attempt-Id", "82cc15129866701a.e81be4f4b4310cfe"),
        calls.Header("X-Caller-Service", "jewu69a"),
    ),
    body=b"body",
)


@hypothesis.given(test_codec.MESSAGES)
def test_unpacking_restores_the_packed_message(message):
    data = codec.encode_packed(message, DICTIONARY)
    assert packing.is_packed(data)
    assert codec.decode(data, DICTIONARY) == message


@hypothesis.given(test_codec.MESSAGES)
def test_an_encoded_message_is_never_taken_for_a_packed_one(message):
    assert not packing.is_packed(codec.encode(message))


def test_packing_saves_a_third_of_a_typical_request():
    packed, plain = codec.encode_packed(CALL, DICTIONARY), codec.encode(CALL)
    assert len(packed) < 2 / 3 * len(plain)


def test_the_dictionary_fits_into_the_window():
    assert len(DICTIONARY) < 1 << packing.WINDOW_BITS


@pytest.mark.parametrize("length", [1, 2, 30])
def test_a_packed_message_that_breaks_off_is_rejected(length):
    data = codec.encode_packed(CALL, DICTIONARY)[:length]
    with pytest.raises(errors.MalformedMessageError):
        codec.decode(data, DICTIONARY)


def test_fields_that_unpack_to_too_much_are_rejected():
    compressor = zlib.compressobj(9, zlib.DEFLATED, -packing.WINDOW_BITS)
    zeros = bytes(2 * packing.MAX_FIELDS_BYTES)
    data = packing.MARK + compressor.compress(zeros) + compressor.flush()
    with pytest.raises(errors.MalformedMessageError, match="too large"):
        codec.decode(data, b"")


def test_a_body_after_a_message_without_body_is_rejected():
    data = codec.encode_packed(messages.CancelMessage("r1"), DICTIONARY) + b"more"
    with pytest.raises(errors.MalformedMessageError, match="no body"):
        codec.decode(data, DICTIONARY)
