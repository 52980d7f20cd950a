"""Tests of encoding and decoding the messages of the inner protocol."""

import cbor2
import hypothesis
import pytest
from hypothesis import strategies

from savoryhollow import calls, errors
from savoryhollow.wire import codec, messages

COUNTS = strategies.integers(0, 2**40)
strategies.register_type_strategy(
    messages.LoadReport,
    strategies.builds(
        messages.LoadReport,
        busy=COUNTS,
        queued=COUNTS,
        slots=strategies.integers(1, 2**40),
        service_us=COUNTS,
    ),
)
strategies.register_type_strategy(
    messages.HelloMessage,
    strategies.builds(messages.HelloMessage, report_interval_ms=COUNTS),
)
strategies.register_type_strategy(
    messages.ItemsMessage,
    strategies.builds(
        messages.ItemsMessage, confirmed_age_us=strategies.none() | COUNTS
    ),
)
MESSAGES = strategies.one_of(
    *(strategies.from_type(cls) for cls in codec.KINDS_BY_CLASS)
)


@hypothesis.given(MESSAGES)
def test_decoding_restores_the_encoded_message(message):
    assert codec.decode(codec.encode(message)) == message


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_decode_to_a_message_or_raise_a_typed_error(data):
    try:
        codec.decode(data)
    except errors.MalformedMessageError:
        pass


@hypothesis.given(
    strategies.recursive(
        strategies.none() | strategies.integers() | strategies.text(max_size=5),
        lambda children: strategies.lists(children, max_size=6),
    )
)
def test_any_cbor_decodes_to_a_message_or_raises_a_typed_error(value):
    try:
        codec.decode(cbor2.dumps(value))
    except errors.MalformedMessageError:
        pass


def test_a_message_with_an_extra_field_is_rejected():
    data = cbor2.dumps([codec.KINDS_BY_CLASS[messages.CancelMessage], "id", 1])
    with pytest.raises(errors.MalformedMessageError, match="matching versions"):
        codec.decode(data)


def test_a_negative_report_interval_is_rejected():
    hello = messages.HelloMessage(1, "e", "i", report_interval_ms=-1)
    with pytest.raises(errors.MalformedMessageError):
        codec.decode(codec.encode(hello))


@pytest.mark.parametrize("load", [(-1, 0, 9, 0), (0, 0, 0, 0), (0, 0, 9, -1)])
def test_an_impossible_load_is_rejected(load):
    report = messages.LoadReport(*load, leaving=False)
    refusal = messages.NotRunMessage("id", calls.NotRunReason.LEAVING, 0, report)
    with pytest.raises(errors.MalformedMessageError):
        codec.decode(codec.encode(refusal))
