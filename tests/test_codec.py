import cbor2
import hypothesis
import pytest
from hypothesis import strategies

from savoryhollow import errors
from savoryhollow.wire import codec, messages

MESSAGES = strategies.one_of(
    *(strategies.from_type(cls) for cls in codec.KINDS_BY_CLASS)
)


@hypothesis.given(MESSAGES)
def test_decoding_gives_back_what_was_encoded(message):
    assert codec.decode(codec.encode(message)) == message


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_give_a_message_or_a_typed_error(data):
    try:
        codec.decode(data)
    except errors.MalformedMessageError:
        pass


@hypothesis.given(
    strategies.recursive(
        strategies.none() | strategies.integers() | strategies.text(max_size=5),
        lambda inner: strategies.lists(inner, max_size=6),
    )
)
def test_any_cbor_gives_a_message_or_a_typed_error(value):
    try:
        codec.decode(cbor2.dumps(value))
    except errors.MalformedMessageError:
        pass


def test_a_field_too_many_is_refused():
    data = cbor2.dumps([codec.KINDS_BY_CLASS[messages.CancelMessage], "id", 1])
    with pytest.raises(errors.MalformedMessageError, match="matching versions"):
        codec.decode(data)
