"""Tests of the threaded daemon, run as a process."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time

TIMEOUT_S = 30
# Time for which signals are sent one right after another.
BURST_S = 0.1


def reserve_ip():
    """Return a loopback address of this process."""
    return f"127.{21 + os.getpid() % 100}.{os.getpid() // 100 % 250}.1"


def settings_of(ip):
    named = {"endpoint_id": "e", "service": "s", "region": "r", "zone": "z"}
    ports = ("front", "inner", "operator", "backend", "store")
    addresses = {
        name: {"host": ip, "port": 7080 + number} for number, name in enumerate(ports)
    }
    return named | addresses | {"drain_limit_ms": 1000}


def wait_until_port_opens(daemon, ip):
    deadline = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline and daemon.poll() is None:
        with contextlib.suppress(OSError):
            return socket.create_connection((ip, 7080), 1.0).close()
        time.sleep(0.01)
    raise AssertionError(f"no daemon, exit status {daemon.poll()}")


def test_signals_in_a_burst_neither_hinder_nor_cut_a_stop(tmp_path):
    """The daemon deadlocked in its signal handler, or ended by a later signal."""
    path = tmp_path / "daemon.json"
    ip = reserve_ip()
    path.write_text(json.dumps(settings_of(ip)))
    daemon = subprocess.Popen(
        [sys.executable, "-m", "savoryhollow.daemon", str(path)],
        stderr=subprocess.DEVNULL,
    )
    try:
        wait_until_port_opens(daemon, ip)
        burst_ends_at = time.monotonic() + BURST_S
        while time.monotonic() < burst_ends_at and daemon.poll() is None:
            daemon.send_signal(signal.SIGTERM)
        assert daemon.wait(timeout=TIMEOUT_S) == 0
    finally:
        daemon.kill()
        daemon.wait()
