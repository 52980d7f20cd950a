"""Tests of the daemon on the users' platform, run as a process."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
import time

import pytest

from savoryhollow.platform import boot, early
from savoryhollow.settings import models

START_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.01
# The bound ``grace_s`` of the settings.
STOP_LIMIT_S = 4
# Less than a daemon waits for its ports.
PORT_IN_USE_S = 2.0


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


def settings_text(ip):
    return f"""
node = "one"
ip = "{ip}"
zone = "east-a"
region = "east"
app_addr = "{ip}:8145"
service = "dispatch"
bounds = ["grace_s={STOP_LIMIT_S}"]
[zones]
east-a = "east"
[listen]
inbound = "{ip}:8146"
outbound = "{ip}:8147"
ready = "{ip}:8141"
[platform]
address = "{ip}:8142"
"""


def reserve_ip():
    """Return a loopback address of this process."""
    return f"127.{121 + os.getpid() % 100}.{os.getpid() // 100 % 250}.1"


@contextlib.contextmanager
def running_daemon(path):
    daemon = subprocess.Popen(
        [sys.executable, "-m", "savoryhollow.platform"],
        env=os.environ | {early.SETTINGS_VARIABLE: str(path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
    )
    try:
        yield daemon
    finally:
        daemon.kill()
        daemon.communicate()


def wait_until_ready_port_opens(daemon, ip):
    wait_until_port_opens(daemon, ip, 8141)


def wait_until_port_opens(daemon, ip, port):
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline and daemon.poll() is None:
        with contextlib.suppress(OSError):
            socket.create_connection((ip, port), 1.0).close()
            return
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"no daemon, exit status {daemon.poll()}")


def test_sigterm_during_startup_is_a_planned_stop(tmp_path):
    """It used to end the process at once, with the requests that callers had sent."""
    path = tmp_path / "settings"
    os.mkfifo(path)
    text = settings_text(reserve_ip()).encode()
    with running_daemon(path) as daemon:
        stop_sent = False
        while daemon.poll() is None:
            with contextlib.suppress(OSError):
                # Opening the FIFO succeeds only while the daemon reads its settings.
                settings_fd = os.open(path, os.O_WRONLY | os.O_NONBLOCK)
                if not stop_sent:
                    daemon.send_signal(signal.SIGTERM)
                    stop_sent = True
                os.write(settings_fd, text)
                os.close(settings_fd)
            time.sleep(POLL_INTERVAL_S)
        assert daemon.returncode == 0


@pytest.mark.parametrize(
    "spoil",
    [
        lambda text: text[: len(text) // 2],
        lambda text: None,
        lambda text: text.replace(":8147", ":70000"),
        lambda text: text.replace(":8142", ":70000"),
    ],
    ids=["half-written", "missing", "front-port", "store-port"],
)
@pytest.mark.parametrize("wait_s", [1.0, 3.0])
def test_a_daemon_waits_for_settings_that_are_being_written(tmp_path, spoil, wait_s):
    """It used to end, after 2 s or at once, or used a port that doesn't exist."""
    path = tmp_path / "settings"
    ip = reserve_ip()
    text = settings_text(ip)
    spoiled = spoil(text)
    if spoiled is not None:
        path.write_text(spoiled)
    with running_daemon(path) as daemon:
        time.sleep(wait_s)
        assert daemon.poll() is None
        with pytest.raises(OSError):
            socket.create_connection((ip, 8141), 1.0)
        path.write_text(text)
        wait_until_ready_port_opens(daemon, ip)


@pytest.mark.parametrize("seed", ["nowhere", "127.0.0.1:70000"])
def test_seeds_that_are_not_usable_do_not_keep_a_daemon_from_starting(tmp_path, seed):
    """One of them used to make the whole file invalid, or to be used."""
    path = tmp_path / "settings"
    path.write_text(
        f'seeds = ["{seed}", "127.0.0.9:8146"]' + settings_text("127.0.0.1")
    )
    assert boot.read(path).agent.seeds == (models.Target("127.0.0.9", 8146),)


def test_sigterm_ends_a_daemon_that_waits_for_settings(tmp_path):
    """Else it waits on, and is killed."""
    with running_daemon(tmp_path / "settings") as daemon:
        time.sleep(1.0)
        daemon.send_signal(signal.SIGTERM)
        assert daemon.wait(boot.DEFAULT_GRACE_S) == 1


@pytest.mark.parametrize("wait_s", [1.0, 4.0])
@pytest.mark.parametrize("port", [8146, 8147, 9464], ids=["inner", "front", "metrics"])
def test_a_daemon_starts_although_a_port_is_still_in_use(tmp_path, port, wait_s):
    """An earlier process may hold it until the end of its grace, of 4 s here."""
    path = tmp_path / "settings"
    ip = reserve_ip()
    path.write_text(settings_text(ip))
    with socket.create_server((ip, port)) as other:
        with running_daemon(path) as daemon:
            time.sleep(wait_s)
            if port != boot.METRICS_PORT:
                other.close()
            wait_until_ready_port_opens(daemon, ip)
            time.sleep(0.5)
            assert daemon.poll() is None


def test_a_stop_that_is_requested_during_startup_ends_within_its_limit(tmp_path):
    """The stop counted from the end of the start, beyond the time of the SIGKILL.

    Requests that came late were still passed on, and cut without a response.
    """
    path = tmp_path / "settings"
    ip = reserve_ip()
    path.write_text(settings_text(ip))
    with socket.create_server((ip, 8146)) as other, running_daemon(path) as daemon:
        wait_until_port_opens(daemon, ip, 8147)
        daemon.send_signal(signal.SIGTERM)
        killed_at = time.monotonic() + STOP_LIMIT_S
        time.sleep(PORT_IN_USE_S)
        other.close()
        with socket.create_connection((ip, 8147)) as caller:
            caller.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            assert caller.recv(100).startswith(b"HTTP/1.1 503 ")
        assert daemon.wait(timeout=killed_at - time.monotonic()) == 0


def test_other_daemons_are_not_served_while_a_port_is_waited_for(tmp_path):
    """Their requests ran with no list known, and were cut if the start was given up."""
    path = tmp_path / "settings"
    ip = reserve_ip()
    path.write_text(settings_text(ip))
    with socket.create_server((ip, 8147)) as other, running_daemon(path) as daemon:
        wait_until_ready_port_opens(daemon, ip)
        time.sleep(0.5)
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((ip, 8146), 1.0)
        other.close()
        wait_until_port_opens(daemon, ip, 8146)


def test_sigterm_ends_a_daemon_that_waits_for_a_port(tmp_path):
    """Else it waits on, stops in full after that, and is killed."""
    path = tmp_path / "settings"
    ip = reserve_ip()
    path.write_text(settings_text(ip))
    with socket.create_server((ip, 8146)), running_daemon(path) as daemon:
        time.sleep(1.0)
        daemon.send_signal(signal.SIGTERM)
        assert daemon.wait(4.0) == 0
