"""Format configuration values and changes for a narrow terminal."""

import collections.abc
import json
import typing

from savoryhollow.cli import terminal
from savoryhollow.configuration import inspection

__all__ = ["change_lines", "explanation_lines", "setting_lines"]


def setting_lines(
    settings: collections.abc.Iterable[inspection.Setting],
) -> list[str]:
    """Return lines that show each value with the file that set it."""
    text = []
    for setting in settings:
        text.extend(
            _align(f"{setting.path} = {_to_json(setting.value)}", setting.origin)
        )
    return text


def change_lines(changes: collections.abc.Iterable[inspection.Change]) -> list[str]:
    """Return lines that show the differences between two folders."""
    text = []
    for change in changes:
        text.append(change.path)
        for sign, setting in (("-", change.old), ("+", change.new)):
            if setting is not None:
                text.extend(
                    _align(f"  {sign} {_to_json(setting.value)}", setting.origin)
                )
    return text


def explanation_lines(explanation: inspection.Explanation) -> list[str]:
    """Return lines that show a value and how each file contributed to it."""
    text = setting_lines(explanation.settings)
    for step in explanation.steps:
        value = "" if step.value is None else f" {_to_json(step.value)}"
        text.append(f"{step.source} {step.kind} {step.at}")
        if value:
            text.append(_truncate(f"   {value}"))
    return text


def _align(left: str, right: str) -> list[str]:
    if len(left) + len(right) + 2 <= terminal.WIDTH:
        return [f"{left}{right:>{terminal.WIDTH - len(left)}}"]
    return [left, f"{right:>{terminal.WIDTH}}"]


def _truncate(text: str) -> str:
    return text if len(text) <= terminal.WIDTH else f"{text[: terminal.WIDTH - 3]}..."


def _to_json(value: typing.Any) -> str:
    return json.dumps(value)
