"""Accept callers while libraries load, so that none is turned away meanwhile.

Imports little, as it runs before everything else.
"""

import os
import pathlib
import socket
import tomllib

__all__ = ["SETTINGS_VARIABLE", "listen", "settings_path"]

SETTINGS_VARIABLE = "SAVORYHOLLOW_BOOT"
DEFAULT_PATH = "/etc/savoryhollow/local.toml"
# Connections that may wait to be accepted.
BACKLOG = 1024


def settings_path() -> pathlib.Path:
    """Return where the platform places the settings file."""
    return pathlib.Path(os.environ.get(SETTINGS_VARIABLE, DEFAULT_PATH))


def listen(path: pathlib.Path) -> socket.socket | None:
    """Listen where the settings file says that callers come.

    :param path: the settings file.
    :returns: the socket, or None where that can't be done yet; what is wrong with
        the settings is told by those who read them whole.
    """
    try:
        settings = tomllib.loads(path.read_text())
        host, _, port = settings["listen"]["outbound"].rpartition(":")
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, ValueError, KeyError, TypeError, AttributeError):
        return None
