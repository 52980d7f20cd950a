"""Merge a folder of small JSON files in the order of their names.

Objects are merged key by key. Any other value, lists included, replaces the value
of earlier files, and ``null`` removes the key. Therefore the first files can be
replaced by one file with their merged content.
"""

import dataclasses
import pathlib
import typing

from savoryhollow import errors
from savoryhollow.settings import validation

__all__ = ["MergedDocument", "merge", "read_folder"]


@dataclasses.dataclass(slots=True)
class MergedDocument:
    """A merged document.

    :param document: the merged JSON object.
    :param origins_by_path: the names of the files that set the values, by the
        dotted path of the value.
    """

    document: dict[str, typing.Any]
    origins_by_path: dict[str, str]

    def origin(self, path: str) -> str:
        """Return the file that set the value at a path or its nearest ancestor.

        :param path: the dotted path.
        :returns: the name of the file, or ``the folder`` if there is none.
        """
        while path:
            if path in self.origins_by_path:
                return self.origins_by_path[path]
            path = path.rpartition(".")[0]
        return "the folder"


def read_folder(folder: pathlib.Path) -> dict[str, str]:
    """Read the files of a configuration folder.

    :param folder: a folder of ``*.json`` files.
    :returns: the contents of the files, by file name.
    :raises errors.ConfigurationError: if the folder can't be read.
    """
    if not folder.is_dir():
        remedy = "not a folder; name a folder of JSON files"
        raise errors.ConfigurationError([errors.Problem(str(folder), "$", "-", remedy)])
    try:
        return {path.name: path.read_text() for path in sorted(folder.glob("*.json"))}
    except (OSError, UnicodeDecodeError) as error:
        problem = errors.Problem(
            str(folder), "$", "-", f"make its files readable: {error}"
        )
        raise errors.ConfigurationError([problem]) from error


def merge(texts_by_name: dict[str, str]) -> MergedDocument:
    """Merge files in the order of their names.

    :param texts_by_name: the contents of the files, by file name.
    :returns: the merged document and its origins.
    :raises errors.ConfigurationError: with the problems of all files.
    """
    merged = MergedDocument({}, {})
    problems: list[errors.Problem] = []
    for name in sorted(texts_by_name):
        try:
            document = validation.parse_object(texts_by_name[name], name)
        except errors.ConfigurationError as error:
            problems.extend(error.problems)
            continue
        _merge_object(merged.document, document, name, "", merged.origins_by_path)
    if problems:
        raise errors.ConfigurationError(problems)
    return merged


def _merge_object(target, source, name, path, origins_by_path) -> None:
    for key, value in source.items():
        key_path = validation.join_path(path, key)
        if value is None:
            _drop_origins(origins_by_path, key_path, target.pop(key, None))
        elif isinstance(value, dict):
            if not isinstance(target.get(key), dict):
                target[key] = {}
                origins_by_path.pop(key_path, None)
            origins_by_path.setdefault(key_path, name)
            _merge_object(target[key], value, name, key_path, origins_by_path)
        else:
            _drop_origins(origins_by_path, key_path, target.get(key))
            target[key] = value
            origins_by_path[key_path] = name


def _drop_origins(
    origins_by_path: dict[str, str], path: str, old_value: typing.Any
) -> None:
    origins_by_path.pop(path, None)
    if isinstance(old_value, dict):
        for key, value in old_value.items():
            _drop_origins(origins_by_path, validation.join_path(path, key), value)
