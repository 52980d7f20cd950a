"""Write the reference of every setting from the models themselves."""

import collections.abc
import dataclasses
import json
import typing

import msgspec

from savoryhollow.configuration import models as configuration_models
from savoryhollow.settings import models as settings_models

__all__ = ["Option", "list_options", "render"]

# Units that the last word of a name tells.
UNITS_BY_SUFFIX = {
    "_bytes_per_s": "bytes/s",
    "_ms": "ms",
    "_s": "s",
    "_bytes": "bytes",
    "_ratio": "share",
    "port": "port number",
    ".share": "share",
    ".floor": "share",
    "queue_limit": "requests",
    ".attempts": "attempts",
}

HEAD = """# Settings

Written by `savoryhollow settings-reference`; a test holds this page against the
models. Each option is validated when a file is read, and every fault of a file
is reported together, with what to write instead.
"""
DAEMON_HEAD = """
## The settings file of a daemon

One JSON object, read once when the daemon starts (`savoryhollow daemon FILE`).
"""
FOLDER_HEAD = """
## The configuration folder

A folder of JSON files, merged in the order of their names: objects merge key by
key, any other value of a later file replaces the earlier one, `null` takes the
key out. `NAME` stands for a name of your own.
"""
TABLE_HEAD = "\n| option | unit | default | range | meaning |\n|---|---|---|---|---|\n"


@dataclasses.dataclass(frozen=True, slots=True)
class Option:
    """One option as the reference shows it."""

    path: str
    unit: str
    default: str
    values: str
    meaning: str


def render() -> str:
    """Return the whole reference, in Markdown."""
    daemon = list_options(settings_models.DaemonSettings)
    folder = list_options(configuration_models.Configuration)
    return HEAD + DAEMON_HEAD + _table(daemon) + FOLDER_HEAD + _table(folder)


def list_options(model: type, path: str = "") -> list[Option]:
    """Return every option of a model, those of nested models included.

    :param model: a ``msgspec.Struct``.
    :param path: the dotted path at which the model stands.
    """
    hints = typing.get_type_hints(model, include_extras=True)
    found: list[Option] = []
    for field in msgspec.structs.fields(model):
        at = f"{path}.{field.name}" if path else field.name
        inner, metas = _split(hints[field.name])
        meaning = " ".join(m.description for m in metas if m.description)
        if typing.get_origin(inner) is dict:
            item, _ = _split(typing.get_args(inner)[1])
            found.extend(list_options(item, f"{at}.NAME"))
        elif isinstance(inner, type) and issubclass(inner, msgspec.Struct):
            found.extend(_nested(field, inner, at, meaning))
        else:
            found.append(_option(field, at, inner, metas, meaning))
    return found


def _nested(field, model: type, path: str, meaning: str) -> list[Option]:
    found = list_options(model, path)
    if meaning:
        found = [
            dataclasses.replace(option, meaning=f"{meaning}: {option.meaning}")
            for option in found
        ]
    if isinstance(field.default, msgspec.Struct):
        found = [_with_default(option, field.default) for option in found]
    return found


def _with_default(option: Option, default: msgspec.Struct) -> Option:
    value = getattr(default, option.path.rpartition(".")[2])
    return dataclasses.replace(option, default=f"`{json.dumps(value)}`")


def _option(field, path, inner, metas, meaning) -> Option:
    default = "required"
    if not field.required:
        default = f"`{json.dumps(field.default)}`"
    return Option(path, _unit(path, inner, metas), default, _values(metas), meaning)


def _split(hint: typing.Any) -> tuple[typing.Any, list[msgspec.Meta]]:
    metas: list[msgspec.Meta] = []
    while typing.get_origin(hint) is typing.Annotated:
        hint, *extra = typing.get_args(hint)
        metas.extend(meta for meta in extra if isinstance(meta, msgspec.Meta))
    return hint, metas


def _unit(path: str, inner: typing.Any, metas: list[msgspec.Meta]) -> str:
    for meta in metas:
        if meta.extra and "unit" in meta.extra:
            return meta.extra["unit"]
    for suffix, unit in UNITS_BY_SUFFIX.items():
        if path.endswith(suffix):
            return unit
    if inner is str:
        return "text"
    return "yes or no" if inner is bool else "number"


def _values(metas: list[msgspec.Meta]) -> str:
    said = []
    for meta in metas:
        if meta.pattern and meta.pattern.startswith("^("):
            names = meta.pattern[2:].partition(")")[0].split("|")
            said.append(", ".join(f"`{name}`" for name in names))
        for sign, bound in (
            ("≥", meta.ge),
            (">", meta.gt),
            ("≤", meta.le),
            ("<", meta.lt),
        ):
            if bound is not None:
                said.append(f"{sign} {bound:,}")
        if meta.min_length:
            said.append(f"length ≥ {meta.min_length}")
        if meta.max_length:
            said.append(f"length ≤ {meta.max_length}")
    return "; ".join(said)


def _table(shown: collections.abc.Iterable[Option]) -> str:
    rows = (
        f"| `{o.path}` | {o.unit} | {o.default} | {o.values} | {o.meaning} |\n"
        for o in shown
    )
    return TABLE_HEAD + "".join(rows)
