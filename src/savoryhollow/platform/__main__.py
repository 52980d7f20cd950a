"""Run a daemon with ``python -m savoryhollow.platform``."""

import signal
import sys
import time

# SIGHUP means that the settings have changed; by default it would end the process.
# It is ignored until libraries are loaded, as the settings are only read afterwards.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# SIGTERM must not end the process before it has answered the requests that callers have
# sent meanwhile, so its time is remembered until the daemon can stop.
stop_request_times: list[float] = []
signal.signal(signal.SIGTERM, lambda *_: stop_request_times.append(time.monotonic()))

from savoryhollow.platform import early  # noqa: E402

if __name__ == "__main__":
    listening_since = time.monotonic()
    front_socket = early.listen(early.settings_path())

    from savoryhollow import errors
    from savoryhollow.platform import process

    try:
        sys.exit(process.run(front_socket, listening_since, stop_request_times))
    except errors.SettingsError as error:
        sys.exit(str(error))
