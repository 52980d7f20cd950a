"""Show operators the values of a configuration folder and the files that set them.

All functions depend on the contents of the files alone.
"""

import dataclasses
import enum
import typing

import msgspec

from savoryhollow import errors
from savoryhollow.configuration import acceptance, merging
from savoryhollow.settings import validation

__all__ = ["Change", "Explanation", "Setting", "Step", "StepKind"]
__all__ += ["check", "diff", "explain"]

# The origin of a value that no file sets.
DEFAULT_ORIGIN = "default"


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """One value in force.

    :param path: the dotted path of the value.
    :param origin: the name of the file that set it, or ``default``.
    """

    path: str
    value: typing.Any
    origin: str


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One value that differs between two folders.

    :param path: the dotted path of the value.
    :param old: the value before the change, or None if there was none.
    :param new: the value after the change, or None if there is none.
    """

    path: str
    old: Setting | None
    new: Setting | None


class StepKind(enum.StrEnum):
    """What a file does to a value."""

    SETS = "sets"
    REFINES = "refines"
    REMOVES = "removes"


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """What one file does to the value at a path.

    :param source: the name of the file.
    :param kind: what the file does.
    :param at: the path that the file sets or removes: the given path or one of its
        ancestors.
    :param value: the value that the file gives there, or None if it removes it.
    """

    source: str
    kind: StepKind
    at: str
    value: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """The origin of the value at a path.

    :param path: the dotted path.
    :param settings: the values in force at the path and below it.
    :param steps: what each file does to the value, in the order of the merge.
    """

    path: str
    settings: tuple[Setting, ...]
    steps: tuple[Step, ...]


# ---------------------------------------------------------------------------
#   Queries
# ---------------------------------------------------------------------------


def check(texts_by_name: dict[str, str]) -> tuple[Setting, ...]:
    """Return all values that a folder puts in force, including defaults.

    :param texts_by_name: the contents of the files, by file name.
    :returns: the values, sorted by path.
    :raises errors.ConfigurationError: if the folder is invalid.
    """
    merged = acceptance.merge_files(texts_by_name)
    configuration = acceptance.accept_merged(merged)
    leaves = _leaves(msgspec.to_builtins(configuration), "")
    return tuple(
        Setting(path, value, _leaf_origin(merged, path))
        for path, value in sorted(leaves)
    )


def diff(
    old_texts_by_name: dict[str, str], new_texts_by_name: dict[str, str]
) -> tuple[Change, ...]:
    """Return the values that differ between two folders.

    :param old_texts_by_name: the contents of the old files, by file name.
    :param new_texts_by_name: the contents of the new files, by file name.
    :returns: the changes, sorted by path.
    :raises errors.ConfigurationError: if either folder is invalid.
    """
    old = {setting.path: setting for setting in check(old_texts_by_name)}
    new = {setting.path: setting for setting in check(new_texts_by_name)}
    return tuple(
        Change(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if path not in old or path not in new or old[path].value != new[path].value
    )


def explain(texts_by_name: dict[str, str], path: str) -> Explanation:
    """Explain which files determine the value at a path.

    :param texts_by_name: the contents of the files, by file name.
    :param path: a dotted path, such as ``services.dispatch.share``.
    :returns: the values in force there and what each file does to them.
    :raises errors.ConfigurationError: if the folder is invalid or no value exists
        at the path.
    """
    settings = tuple(
        setting
        for setting in check(texts_by_name)
        if setting.path == path or setting.path.startswith(path + ".")
    )
    steps = tuple(
        step
        for name in sorted(texts_by_name)
        if (step := _step_of_file(texts_by_name, name, path))
    )
    if not settings and not steps:
        remedy = "no value at this path; list the paths with check"
        problem = errors.Problem("the folder", path, "-", remedy)
        raise errors.ConfigurationError([problem])
    return Explanation(path, settings, steps)


# ---------------------------------------------------------------------------
#   Helpers
# ---------------------------------------------------------------------------


def _leaves(value: typing.Any, path: str) -> list[tuple[str, typing.Any]]:
    if not isinstance(value, dict):
        return [(path, value)]
    leaves = []
    for key, entry in value.items():
        leaves.extend(_leaves(entry, validation.join_path(path, key)))
    return leaves


def _leaf_origin(merged: merging.MergedDocument, path: str) -> str:
    return merged.origins_by_path.get(path, DEFAULT_ORIGIN)


def _step_of_file(texts_by_name: dict[str, str], name: str, path: str) -> Step | None:
    value: typing.Any = validation.parse_object(texts_by_name[name], name)
    prefix = ""
    while prefix != path:
        if not isinstance(value, dict):
            return Step(name, StepKind.SETS, prefix, value)
        keys = [
            k for k in value if _is_at_or_above(validation.join_path(prefix, k), path)
        ]
        if not keys:
            return None
        prefix, value = validation.join_path(prefix, keys[0]), value[keys[0]]
        if value is None:
            return Step(name, StepKind.REMOVES, prefix, None)
    kind = StepKind.REFINES if isinstance(value, dict) else StepKind.SETS
    return Step(name, kind, prefix, value)


def _is_at_or_above(prefix: str, path: str) -> bool:
    return path == prefix or path.startswith(prefix + ".")
