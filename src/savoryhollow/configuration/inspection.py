"""Show operators what a configuration folder says, and which file says it.

Everything here is a pure function of the texts of the files.
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

# Named as the origin of a value that no file sets.
DEFAULT_ORIGIN = "default"


@dataclasses.dataclass(frozen=True, slots=True)
class Setting:
    """One value that is in force.

    :param path: the dotted path of the value.
    :param origin: the file that set it, or ``default``.
    """

    path: str
    value: typing.Any
    origin: str


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One value that differs between two folders.

    :param old: the value before, or None where there was none.
    :param new: the value after, or None where there is none.
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

    :param at: the path at which the file does it: the path or one above it.
    """

    source: str
    kind: StepKind
    at: str
    value: typing.Any


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """How the value at a path came about.

    :param settings: the values in force at the path and below it.
    :param steps: what each file does to it, in the order of the merge.
    """

    path: str
    settings: tuple[Setting, ...]
    steps: tuple[Step, ...]


# ---------------------------------------------------------------------------
#   Questions
# ---------------------------------------------------------------------------


def check(texts_by_name: dict[str, str]) -> tuple[Setting, ...]:
    """Return every value that a folder puts in force, defaults included.

    :param texts_by_name: the texts of the files.
    :returns: the values in the order of their paths.
    :raises errors.ConfigurationError: where the folder is rejected.
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

    :param old_texts_by_name: the texts of the files before.
    :param new_texts_by_name: the texts of the files after.
    :returns: the changes in the order of their paths.
    :raises errors.ConfigurationError: where either folder is rejected.
    """
    old = {setting.path: setting for setting in check(old_texts_by_name)}
    new = {setting.path: setting for setting in check(new_texts_by_name)}
    return tuple(
        Change(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if path not in old or path not in new or old[path].value != new[path].value
    )


def explain(texts_by_name: dict[str, str], path: str) -> Explanation:
    """Tell how the value at a path came about.

    :param texts_by_name: the texts of the files.
    :param path: a dotted path, such as ``services.dispatch.share``.
    :returns: the values in force there and what each file does to them.
    :raises errors.ConfigurationError: where the folder is rejected, or nothing
        stands at the path.
    """
    settings = tuple(
        setting
        for setting in check(texts_by_name)
        if setting.path == path or setting.path.startswith(path + ".")
    )
    steps = tuple(
        step
        for name in sorted(texts_by_name)
        if (step := _step(texts_by_name, name, path))
    )
    if not settings and not steps:
        remedy = "nothing stands there; list the paths with check"
        problem = errors.Problem("the folder", path, "-", remedy)
        raise errors.ConfigurationError([problem])
    return Explanation(path, settings, steps)


# ---------------------------------------------------------------------------
#   Parts
# ---------------------------------------------------------------------------


def _leaves(value: typing.Any, path: str) -> list[tuple[str, typing.Any]]:
    if not isinstance(value, dict):
        return [(path, value)]
    found = []
    for key, entry in value.items():
        found.extend(_leaves(entry, validation.join_path(path, key)))
    return found


def _leaf_origin(merged: merging.MergedDocument, path: str) -> str:
    return merged.origins_by_path.get(path, DEFAULT_ORIGIN)


def _step(texts_by_name: dict[str, str], name: str, path: str) -> Step | None:
    value: typing.Any = validation.parse_object(texts_by_name[name], name)
    at = ""
    while at != path:
        if not isinstance(value, dict):
            return Step(name, StepKind.SETS, at, value)
        below = [key for key in value if _leads(validation.join_path(at, key), path)]
        if not below:
            return None
        at, value = validation.join_path(at, below[0]), value[below[0]]
        if value is None:
            return Step(name, StepKind.REMOVES, at, None)
    kind = StepKind.REFINES if isinstance(value, dict) else StepKind.SETS
    return Step(name, kind, at, value)


def _leads(at: str, path: str) -> bool:
    return path == at or path.startswith(at + ".")
