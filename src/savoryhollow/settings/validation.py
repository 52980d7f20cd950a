"""Validate JSON documents against models, reporting all problems together."""

import collections.abc
import functools
import json
import math
import re
import typing

import msgspec

from savoryhollow import errors
from savoryhollow.settings import remedies

__all__ = ["convert", "join_path", "parse_object"]

Origin: typing.TypeAlias = collections.abc.Callable[[str], str]

# Maximum nesting depth of objects and lists.
MAX_DEPTH = 32
# Maximum length of an invalid value in a message, in characters.
MAX_VALUE_LENGTH = 80
# Largest integer allowed in a file.
MAX_INTEGER = 2**53
# Keys that are written in paths without quotes.
UNQUOTED_KEY = re.compile(r"[A-Za-z0-9_-]+", re.ASCII)


class _Field(typing.NamedTuple):
    """One field of a model, with its annotated type."""

    model: typing.Any
    required: bool


class _Object(dict):
    """A parsed object that records keys that occurred more than once."""

    duplicate_keys: tuple[str, ...] = ()


# ---------------------------------------------------------------------------
#   Parsing
# ---------------------------------------------------------------------------


def parse_object(text: str, source: str) -> dict[str, typing.Any]:
    """Parse a JSON object and reject duplicate keys.

    Values nested too deeply and numbers that are too large are rejected as well.

    :param text: the document.
    :param source: the name of the file, for messages.
    :returns: the parsed object.
    :raises errors.ConfigurationError: if the text isn't a valid JSON object.
    """
    try:
        parsed = json.loads(
            text,
            object_pairs_hook=_build_object,
            parse_constant=functools.partial(_reject_constant, source),
        )
    except (ValueError, RecursionError) as error:
        remedy = f"write valid JSON: {error}"
        problem = errors.Problem(source, "$", "...", remedy)
        raise errors.ConfigurationError([problem]) from error
    if not isinstance(parsed, dict):
        problem = errors.Problem(source, "$", _shorten(parsed), "write a JSON object")
        raise errors.ConfigurationError([problem])
    problems: list[errors.Problem] = []
    _check_parsed(parsed, "", 0, source, problems)
    if problems:
        raise errors.ConfigurationError(problems)
    return parsed


def join_path(path: str, key: str) -> str:
    """Return the dotted path of a key below a path, quoting the key if necessary."""
    name = key if UNQUOTED_KEY.fullmatch(key) else json.dumps(key)
    return f"{path}.{name}" if path else name


def _build_object(pairs: list[tuple[str, typing.Any]]) -> _Object:
    parsed_object = _Object(pairs)
    if len(parsed_object) < len(pairs):
        keys = [key for key, _ in pairs]
        parsed_object.duplicate_keys = tuple(
            sorted(key for key in parsed_object if keys.count(key) > 1)
        )
    return parsed_object


def _reject_constant(source: str, name: str) -> typing.NoReturn:
    remedy = "write valid JSON: a finite number in digits"
    raise errors.ConfigurationError([errors.Problem(source, "$", name, remedy)])


def _check_parsed(value, path, depth, source, problems) -> None:
    if depth > MAX_DEPTH:
        remedy = f"nested too deeply; nest at most {MAX_DEPTH} objects and lists"
        problems.append(errors.Problem(source, path, "...", remedy))
    elif isinstance(value, _Object):
        for key in value.duplicate_keys:
            key_path = join_path(path, key)
            remedy = "duplicate key; keep one of them"
            problems.append(
                errors.Problem(source, key_path, _shorten(value[key]), remedy)
            )
        for key, entry in value.items():
            _check_parsed(entry, join_path(path, key), depth + 1, source, problems)
    elif isinstance(value, list):
        for index, entry in enumerate(value):
            _check_parsed(entry, f"{path}[{index}]", depth + 1, source, problems)
    elif _is_too_large(value):
        remedy = "number too large; write a smaller one"
        problems.append(errors.Problem(source, path, "...", remedy))


def _is_too_large(value: typing.Any) -> bool:
    if isinstance(value, float):
        return not math.isfinite(value)
    return isinstance(value, int) and abs(value) > MAX_INTEGER


# ---------------------------------------------------------------------------
#   Conversion to models
# ---------------------------------------------------------------------------


def convert(
    value: typing.Any,
    model: typing.Any,
    origin: Origin,
    problems: list[errors.Problem],
    path: str = "",
) -> typing.Any:
    """Convert parsed JSON to a model.

    :param value: the parsed JSON value.
    :param model: a ``msgspec.Struct``, ``dict[str, Struct]`` or leaf type.
    :param origin: returns the name of the file that set the value at a dotted path.
    :param problems: a list to which all problems found are appended.
    :param path: the dotted path of ``value``.
    :returns: the instance of the model, or None if there are problems.
    """
    bare_model = typing.get_args(model)[0] if _is_annotated(model) else model
    if _is_struct(bare_model):
        return _convert_struct(value, bare_model, origin, problems, path)
    if typing.get_origin(bare_model) is dict:
        return _convert_mapping(value, bare_model, origin, problems, path)
    return _convert_leaf(value, model, origin, problems, path)


def _convert_leaf(value, model, origin, problems, path):
    try:
        return msgspec.convert(value, model)
    except (msgspec.ValidationError, ValueError, OverflowError) as error:
        remedy = remedies.for_value(value, model, str(error))
        problems.append(_make_problem(origin, path, value, remedy))
        return None


def _convert_struct(value, model, origin, problems, path):
    if not isinstance(value, dict):
        problems.append(_make_problem(origin, path, value, "write an object"))
        return None
    fields = _fields_by_name(model)
    for name in sorted(value.keys() - fields.keys()):
        remedy = remedies.for_unknown_key(name, tuple(sorted(fields)))
        problems.append(
            _make_problem(origin, join_path(path, name), value[name], remedy)
        )
    converted = {}
    for name, field in fields.items():
        key_path = join_path(path, name)
        if name in value:
            converted[name] = convert(
                value[name], field.model, origin, problems, key_path
            )
        elif field.required:
            problems.append(_make_problem(origin, key_path, None, "required; add it"))
    if problems:
        return None
    return model(**converted)


def _convert_mapping(value, model, origin, problems, path):
    if not isinstance(value, dict):
        problems.append(_make_problem(origin, path, value, "write an object"))
        return None
    key_model, item_model = typing.get_args(model)
    converted = {}
    for key, entry in value.items():
        key_path = join_path(path, key)
        _convert_leaf(key, key_model, origin, problems, key_path)
        converted[key] = convert(entry, item_model, origin, problems, key_path)
    return converted


@functools.cache
def _fields_by_name(model: type) -> dict[str, _Field]:
    hints = typing.get_type_hints(model, include_extras=True)
    return {
        field.name: _Field(hints[field.name], field.required)
        for field in msgspec.structs.fields(model)
    }


def _is_annotated(model: typing.Any) -> bool:
    return typing.get_origin(model) is typing.Annotated


def _is_struct(model: typing.Any) -> bool:
    return isinstance(model, type) and issubclass(model, msgspec.Struct)


def _make_problem(origin, path, value, remedy) -> errors.Problem:
    return errors.Problem(origin(path), path or "$", _shorten(value), remedy)


def _shorten(value: typing.Any) -> str:
    return json.dumps(value, sort_keys=True)[:MAX_VALUE_LENGTH]
