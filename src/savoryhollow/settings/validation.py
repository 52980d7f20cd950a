"""Validate a JSON document against a model and report every fault at once."""

import collections.abc
import json
import typing

import msgspec

from savoryhollow import errors

__all__ = ["convert", "parse_object"]

Origin: typing.TypeAlias = collections.abc.Callable[[str], str]


def parse_object(text: str, source: str) -> dict[str, typing.Any]:
    """Parse a JSON object and refuse a key that stands twice.

    :param text: the document.
    :param source: the name of the file, for messages.
    :returns: the parsed object.
    :raises errors.ConfigurationError: on text that is not one JSON object.
    """
    problems: list[errors.Problem] = []

    def build(pairs: list[tuple[str, typing.Any]]) -> dict[str, typing.Any]:
        built: dict[str, typing.Any] = {}
        for key, value in pairs:
            if key in built:
                remedy = "the key stands twice; keep one of them"
                problems.append(errors.Problem(source, key, json.dumps(value), remedy))
            built[key] = value
        return built

    try:
        parsed = json.loads(text, object_pairs_hook=build)
    except (ValueError, RecursionError) as error:
        problem = errors.Problem(source, "$", "...", f"write valid JSON: {error}")
        raise errors.ConfigurationError([problem]) from error
    if not isinstance(parsed, dict):
        problem = errors.Problem(source, "$", text[:40], "write a JSON object")
        raise errors.ConfigurationError([problem])
    if problems:
        raise errors.ConfigurationError(problems)
    return parsed


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
    :param origin: names the file that set the value at a dotted path.
    :param problems: every fault found is appended here.
    :param path: the dotted path of ``value``.
    :returns: the instance of the model, or None where a fault was found.
    """
    if _is_struct(model):
        return _convert_struct(value, model, origin, problems, path)
    if typing.get_origin(model) is dict:
        return _convert_mapping(value, model, origin, problems, path)
    try:
        return msgspec.convert(value, model)
    except msgspec.ValidationError as error:
        remedy = str(error).replace("`", "").lower()
        problems.append(_problem(origin, path, value, remedy))
        return None


def _convert_struct(value, model, origin, problems, path):
    if not isinstance(value, dict):
        problems.append(_problem(origin, path, value, "write an object"))
        return None
    hints = typing.get_type_hints(model, include_extras=True)
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    for name in value.keys() - fields.keys():
        remedy = f"unknown key; known here: {', '.join(sorted(fields))}"
        problems.append(_problem(origin, _join(path, name), value[name], remedy))
    converted = {}
    for name, field in fields.items():
        if name in value:
            at = _join(path, name)
            converted[name] = convert(value[name], hints[name], origin, problems, at)
        elif field.required:
            remedy = "required; add it"
            problems.append(_problem(origin, _join(path, name), None, remedy))
    if problems:
        return None
    return model(**converted)


def _convert_mapping(value, model, origin, problems, path):
    if not isinstance(value, dict):
        problems.append(_problem(origin, path, value, "write an object"))
        return None
    item = typing.get_args(model)[1]
    return {
        key: convert(entry, item, origin, problems, _join(path, key))
        for key, entry in value.items()
    }


def _is_struct(model: typing.Any) -> bool:
    return isinstance(model, type) and issubclass(model, msgspec.Struct)


def _join(path: str, name: str) -> str:
    return f"{path}.{name}" if path else name


def _problem(origin, path, value, remedy) -> errors.Problem:
    return errors.Problem(origin(path), path or "$", json.dumps(value)[:80], remedy)
