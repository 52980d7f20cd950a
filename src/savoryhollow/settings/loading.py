"""Load the settings file of a process."""

import pathlib

from savoryhollow import errors
from savoryhollow.settings import models, validation

__all__ = ["load_daemon_settings"]


def load_daemon_settings(path: pathlib.Path) -> models.DaemonSettings:
    """Read and validate the settings of a daemon.

    :param path: a JSON file.
    :returns: the settings.
    :raises errors.SettingsError: with all problems found in the file.
    """
    try:
        text = path.read_text()
    except (OSError, UnicodeDecodeError) as error:
        problem = errors.Problem(str(path), "$", "-", f"make it readable: {error}")
        raise errors.SettingsError([problem]) from error
    try:
        parsed = validation.parse_object(text, path.name)
    except errors.ConfigurationError as error:
        raise errors.SettingsError(error.problems) from error
    problems: list[errors.Problem] = []
    settings = validation.convert(
        parsed, models.DaemonSettings, lambda _: path.name, problems
    )
    if problems:
        raise errors.SettingsError(problems)
    return settings
