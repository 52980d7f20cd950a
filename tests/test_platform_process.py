"""Tests of the daemon on the users' platform, run as a process."""

import contextlib
import os
import signal
import subprocess
import sys
import time

from savoryhollow.platform import early

START_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.01


def test_sighup_during_startup_does_not_end_the_daemon(tmp_path):
    path = tmp_path / "settings"
    os.mkfifo(path)
    daemon = subprocess.Popen(
        [sys.executable, "-m", "savoryhollow.platform"],
        env=os.environ | {early.SETTINGS_VARIABLE: str(path)},
        stderr=subprocess.PIPE,
    )
    while daemon.poll() is None:
        with contextlib.suppress(OSError):
            # Opening the FIFO succeeds only while the daemon reads its settings.
            settings_fd = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
            daemon.send_signal(signal.SIGHUP)
            os.write(settings_fd, b"nothing of use")
            os.close(settings_fd)
        time.sleep(POLL_INTERVAL_S)
    _, stderr = daemon.communicate(timeout=START_TIMEOUT_S)
    assert daemon.returncode == 1
    assert b"have the platform rewrite it" in stderr
