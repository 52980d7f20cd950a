"""Run a daemon with ``python -m savoryhollow.platform``."""

import signal
import sys

# A change of the settings while libraries load is read with the file, later on.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from savoryhollow import errors  # noqa: E402
from savoryhollow.platform import process  # noqa: E402

if __name__ == "__main__":
    try:
        sys.exit(process.run())
    except errors.SettingsError as error:
        sys.exit(str(error))
