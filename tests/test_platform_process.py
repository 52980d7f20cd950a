"""The daemon on the users' platform as a process of its own."""

import contextlib
import os
import signal
import subprocess
import sys
import time

from savoryhollow.platform import early

START_LIMIT_S = 60
POLL_S = 0.01


def test_a_hint_of_new_settings_that_comes_at_the_start_doesn_t_end_the_daemon(
    tmp_path,
):
    path = tmp_path / "settings"
    os.mkfifo(path)
    daemon = subprocess.Popen(
        [sys.executable, "-m", "savoryhollow.platform"],
        env=os.environ | {early.SETTINGS_VARIABLE: str(path)},
        stderr=subprocess.PIPE,
    )
    while daemon.poll() is None:
        with contextlib.suppress(OSError):
            # Opens only while the daemon reads its settings.
            settings = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            daemon.send_signal(signal.SIGHUP)
            os.write(settings, b"nothing of use")
            os.close(settings)
        time.sleep(POLL_S)
    _, text = daemon.communicate(timeout=START_LIMIT_S)
    assert daemon.returncode == 1
    assert b"have the platform write it anew" in text
