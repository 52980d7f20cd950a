"""Run a daemon with ``python -m savoryhollow.platform``."""

import sys

from savoryhollow import errors
from savoryhollow.platform import process

if __name__ == "__main__":
    try:
        sys.exit(process.run())
    except errors.SettingsError as error:
        sys.exit(str(error))
