"""The daemon on the users' platform as a process of its own."""

import os
import signal
import subprocess
import sys

from savoryhollow.platform import process

START_LIMIT_S = 60


def test_a_hint_of_new_settings_that_comes_at_the_start_doesn_t_end_the_daemon(
    tmp_path,
):
    path = tmp_path / "settings"
    os.mkfifo(path)
    daemon = subprocess.Popen(
        [sys.executable, "-m", "savoryhollow.platform"],
        env=os.environ | {process.SETTINGS_VARIABLE: str(path)},
        stderr=subprocess.PIPE,
    )
    # Opening it waits for the daemon to read its settings.
    with path.open("w") as settings:
        daemon.send_signal(signal.SIGHUP)
        settings.write("nothing of use")
    _, text = daemon.communicate(timeout=START_LIMIT_S)
    assert daemon.returncode == 1
    assert b"have the platform write it anew" in text
