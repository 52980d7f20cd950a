"""Encode and decode messages as CBOR.

A message is encoded as an array of its kind and its field values in the order of
their definition. Leaving out the field names keeps messages small on links that are
billed by volume.
"""

import dataclasses
import typing

import cbor2
import msgspec

from savoryhollow import decoding, errors
from savoryhollow.wire import messages, packing

__all__ = ["decode", "encode", "encode_packed"]

# The number that identifies each message class on the wire. The number of a removed
# class must not be reused.
KINDS_BY_CLASS: dict[type, int] = {
    messages.HelloMessage: 1,
    messages.CallMessage: 2,
    messages.ServedMessage: 3,
    messages.NotRunMessage: 4,
    messages.UnknownMessage: 5,
    messages.CancelMessage: 6,
    messages.ResolveMessage: 7,
    messages.ResolutionMessage: 8,
    messages.CompareMessage: 9,
    messages.RelayMessage: 10,
    messages.GoAwayMessage: 11,
    messages.ReportMessage: 12,
    messages.SubscribeMessage: 13,
    messages.ItemsMessage: 14,
}
CLASSES_BY_KIND = {kind: cls for cls, kind in KINDS_BY_CLASS.items()}


def encode(message: messages.Message) -> bytes:
    """Encode a message.

    :param message: a message defined in :mod:`savoryhollow.wire.messages`.
    :returns: its CBOR encoding.
    """
    return cbor2.dumps([KINDS_BY_CLASS[type(message)], *_to_array(message)])


def encode_packed(message: messages.Message, dictionary: bytes) -> bytes:
    """Encode a message and compress everything but its body.

    :param message: a message defined in :mod:`savoryhollow.wire.messages`.
    :param dictionary: the dictionary that the other end has too.
    """
    body = b""
    if isinstance(message, messages.MessageWithBody):
        body = message.body
        message = dataclasses.replace(message, body=b"")
    return packing.pack(encode(message), body, dictionary)


def decode(data: bytes, dictionary: bytes = b"") -> messages.Message:
    """Decode and validate a message.

    :param data: one CBOR item, or a packed message.
    :param dictionary: the dictionary for packed messages.
    :returns: the message.
    :raises errors.MalformedMessageError: if the data isn't a valid message.
    """
    if not packing.is_packed(data):
        return _decode_array(data)
    fields, body = packing.unpack(data, dictionary)
    message = _decode_array(fields)
    if isinstance(message, messages.MessageWithBody):
        return dataclasses.replace(message, body=body)
    if body:
        text = f"{type(message).__name__} has no body; run matching versions"
        raise errors.MalformedMessageError(text)
    return message


def _decode_array(data: bytes) -> messages.Message:
    try:
        kind, *values = cbor2.loads(data)
        cls = CLASSES_BY_KIND[kind]
        return msgspec.convert(_to_dict(cls, values), cls)
    except (
        *decoding.FAILURES,
        TypeError,
        KeyError,
        EOFError,
        cbor2.CBORDecodeError,
    ) as error:
        text = f"{len(data)} bytes can't be decoded: {error}; run matching versions"
        raise errors.MalformedMessageError(text) from error


# ---------------------------------------------------------------------------
#   Conversion between data classes and arrays
# ---------------------------------------------------------------------------


def _to_array(item: typing.Any) -> list[typing.Any]:
    return [_to_plain(getattr(item, name)) for name in item.__dataclass_fields__]


def _to_plain(value: typing.Any) -> typing.Any:
    if dataclasses.is_dataclass(value):
        return _to_array(value)
    if isinstance(value, tuple):
        return [_to_plain(entry) for entry in value]
    if isinstance(value, str):
        return str(value)
    return value


def _nested_classes(cls: type) -> dict[str, type]:
    found = {}
    for name, hint in typing.get_type_hints(cls).items():
        for candidate in (hint, *typing.get_args(hint)):
            if isinstance(candidate, type) and dataclasses.is_dataclass(candidate):
                found[name] = candidate
    return found


def _field_names(cls: type) -> tuple[str, ...]:
    return tuple(field.name for field in dataclasses.fields(cls))


def _collect_classes(classes: typing.Iterable[type]) -> set[type]:
    found: set[type] = set()
    pending = list(classes)
    while pending:
        cls = pending.pop()
        if cls not in found:
            found.add(cls)
            pending.extend(_nested_classes(cls).values())
    return found


_FIELD_NAMES_BY_CLASS = {
    cls: _field_names(cls) for cls in _collect_classes(KINDS_BY_CLASS)
}
_NESTED_CLASSES_BY_CLASS = {cls: _nested_classes(cls) for cls in _FIELD_NAMES_BY_CLASS}
_TUPLE_FIELDS_BY_CLASS = {
    cls: {
        name
        for name, hint in typing.get_type_hints(cls).items()
        if typing.get_origin(hint) is tuple
    }
    for cls in _FIELD_NAMES_BY_CLASS
}


def _to_dict(cls: type, values: typing.Any) -> dict[str, typing.Any]:
    names = _FIELD_NAMES_BY_CLASS[cls]
    if not isinstance(values, list) or len(values) != len(names):
        raise TypeError(f"{cls.__name__} must be an array of {len(names)} fields")
    values_by_name = dict(zip(names, values, strict=True))
    for name, nested_cls in _NESTED_CLASSES_BY_CLASS[cls].items():
        if name in _TUPLE_FIELDS_BY_CLASS[cls]:
            values_by_name[name] = [
                _to_dict(nested_cls, entry) for entry in values_by_name[name]
            ]
        elif values_by_name[name] is not None:
            values_by_name[name] = _to_dict(nested_cls, values_by_name[name])
    return values_by_name
