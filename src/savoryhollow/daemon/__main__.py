"""Run a daemon: ``python -m savoryhollow.daemon SETTINGS_FILE``.

This does not import the libraries of the command line, which saves memory.
"""

import pathlib
import sys

from savoryhollow import errors
from savoryhollow.daemon import process

if __name__ == "__main__":
    try:
        sys.exit(process.run(pathlib.Path(sys.argv[1])))
    except errors.SettingsError as error:
        sys.exit(str(error))
