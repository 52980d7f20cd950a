"""Show configuration folders in a narrow terminal."""

import collections.abc
import json
import typing

from savoryhollow.cli import terminal
from savoryhollow.configuration import inspection

__all__ = ["change_lines", "explanation_lines", "setting_lines"]


def setting_lines(
    settings: collections.abc.Iterable[inspection.Setting],
) -> list[str]:
    """Return values with their origins as text."""
    text = []
    for setting in settings:
        text.extend(_fit(f"{setting.path} = {_json(setting.value)}", setting.origin))
    return text


def change_lines(changes: collections.abc.Iterable[inspection.Change]) -> list[str]:
    """Return the differences of two folders as text."""
    text = []
    for change in changes:
        text.append(change.path)
        for sign, setting in (("-", change.old), ("+", change.new)):
            if setting is not None:
                text.extend(_fit(f"  {sign} {_json(setting.value)}", setting.origin))
    return text


def explanation_lines(explanation: inspection.Explanation) -> list[str]:
    """Return how a value came about as text."""
    text = setting_lines(explanation.settings)
    for step in explanation.steps:
        value = "" if step.value is None else f" {_json(step.value)}"
        text.append(f"{step.source} {step.kind} {step.at}")
        if value:
            text.append(_cut(f"   {value}"))
    return text


def _fit(left: str, right: str) -> list[str]:
    if len(left) + len(right) + 2 <= terminal.WIDTH:
        return [f"{left}{right:>{terminal.WIDTH - len(left)}}"]
    return [left, f"{right:>{terminal.WIDTH}}"]


def _cut(text: str) -> str:
    return text if len(text) <= terminal.WIDTH else f"{text[: terminal.WIDTH - 3]}..."


def _json(value: typing.Any) -> str:
    return json.dumps(value)
