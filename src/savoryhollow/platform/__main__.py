"""Run a daemon with ``python -m savoryhollow.platform``."""

import signal
import sys

# A change of the settings while libraries load is read with the file, later on.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from savoryhollow.platform import early  # noqa: E402

if __name__ == "__main__":
    front_socket = early.listen(early.settings_path())

    from savoryhollow import errors
    from savoryhollow.platform import process

    try:
        sys.exit(process.run(front_socket))
    except errors.SettingsError as error:
        sys.exit(str(error))
