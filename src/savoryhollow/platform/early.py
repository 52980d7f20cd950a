"""Listen for callers before libraries are loaded, so that no connection is refused.

This module runs before all others and imports little.
"""

import os
import pathlib
import socket
import tomllib

__all__ = ["SETTINGS_VARIABLE", "listen", "settings_path"]

SETTINGS_VARIABLE = "SAVORYHOLLOW_BOOT"
DEFAULT_PATH = "/etc/savoryhollow/local.toml"
# Maximum number of connections waiting to be accepted.
BACKLOG = 1024


def settings_path() -> pathlib.Path:
    """Return the path of the settings file that the platform writes."""
    return pathlib.Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def listen(path: pathlib.Path) -> socket.socket | None:
    """Listen on the address for callers given in the settings file.

    Problems are not reported here, as the settings are validated later.

    :param path: the settings file.
    :returns: the listening socket, or None if it can't be opened.
    """
    try:
        settings = tomllib.loads(path.read_text())
        host, _, port = settings["listen"]["outbound"].rpartition(":")
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except (
        OSError,
        OverflowError,
        RecursionError,
        ValueError,
        KeyError,
        TypeError,
        AttributeError,
    ):
        return None
