"""Run a daemon until it receives a signal to stop."""

import gc
import logging
import os
import pathlib
import queue
import signal
import threading

from savoryhollow import errors
from savoryhollow.daemon import assembly
from savoryhollow.observe import events
from savoryhollow.settings import loading, models

__all__ = ["run"]

# Time that a shutdown may take in addition to the drain limit, in s.
STOP_MARGIN_S = 2.0
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def run(path: pathlib.Path) -> int:
    """Run a daemon until SIGTERM or SIGINT.

    :param path: the settings file of the daemon.
    :returns: the exit status 0, if every request ended within the drain limit.
        Otherwise the process exits with status 1.
    :raises errors.SettingsError: if the settings are invalid or a port cannot be
        opened.
    """
    settings = loading.load_daemon_settings(path)
    events.configure(
        settings.endpoint_id, settings.log_level, settings.placement_log_level
    )
    # A handler may interrupt another one, which an event doesn't allow for.
    stop_requests: queue.SimpleQueue[int] = queue.SimpleQueue()
    for signal_number in STOP_SIGNALS:
        signal.signal(signal_number, lambda number, _: stop_requests.put(number))
    daemon = _create_daemon(settings, path)
    daemon.start()
    gc.collect()
    # Objects that exist now live as long as the process. Exclude them from garbage
    # collection.
    gc.freeze()
    stop_requests.get()
    for signal_number in STOP_SIGNALS:
        # Otherwise another one could end the process while it exits.
        signal.signal(signal_number, signal.SIG_IGN)
    return _stop_within(daemon, settings.drain_limit_ms / 1000 + STOP_MARGIN_S)


def _stop_within(daemon: assembly.Daemon, timeout_s: float) -> int:
    drained: list[bool] = []
    thread = threading.Thread(
        target=lambda: drained.append(daemon.stop()), name="stop", daemon=True
    )
    thread.start()
    thread.join(timeout_s)
    if drained == [True]:
        return 0
    if not drained:
        events.emit(events.Event.DAEMON_STOPPED, drained=False)
    logging.shutdown()
    # A normal exit would wait for threads that are still processing a request.
    os._exit(1)


def _create_daemon(
    settings: models.DaemonSettings, path: pathlib.Path
) -> assembly.Daemon:
    try:
        return assembly.Daemon(settings)
    except OSError as error:
        remedy = "set each port to an address of this instance that is not in use"
        problem = errors.Problem(
            path.name, "front, inner, operator", str(error), remedy
        )
        raise errors.SettingsError([problem]) from error
