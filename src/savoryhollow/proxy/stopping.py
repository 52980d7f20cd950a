"""Finish the requests in progress before the process ends.

Callers keep their connections, and use them, until the platform redirects them. So
requests are still accepted for a while; each response closes its connection. Later
requests are refused, and the ports stay open until the end, so that a request gets a
response whenever it comes.
"""

import asyncio

from savoryhollow import calls
from savoryhollow.http1 import callers, messages
from savoryhollow.proxy import front as front_module
from savoryhollow.proxy import gate as gate_module
from savoryhollow.proxy import inner, load_reports

__all__ = ["finish_requests"]

# Time after a stop request during which callers' requests are still accepted, in s.
# It must end before the platform blames the daemon for losing a late request.
CALLER_GRACE_S = 2.8
# Time after a stop request during which the gate still admits requests, in s.
GATE_GRACE_S = 1.9
# Part of the stop limit that is reserved for closing down, in s.
STOP_MARGIN_S = 0.4
# Time reserved for the responses to requests that last until the end of a stop, in s.
RESPONSE_MARGIN_S = 0.1
# Retry-After value of refused requests, in s. A restart takes about as long.
RETRY_AFTER_S = 0.5
# Interval between checks whether all requests have ended, in s.
CHECK_INTERVAL_S = 0.1

REFUSAL = messages.Response(
    503, (calls.Header("Retry-After", f"{RETRY_AFTER_S:.2f}"),), close=True
)
# Some requests last until the end of the stop. Whether they have run isn't known.
FINAL_RESPONSE = messages.Response(504)


async def finish_requests(
    requested_at: float,
    stop_limit_s: float,
    caller_server: callers.Server,
    front: front_module.Front,
    gate: gate_module.Gate,
    reporter: load_reports.LoadReporter,
    inner_port: inner.InnerPort,
) -> bool:
    """Accept, then refuse requests until none is in progress, and close all ports.

    :param requested_at: the time at which the stop was requested.
    :param stop_limit_s: the time after that at which the process is killed, in s.
    :returns: True if all requests ended in time.
    """

    def in_progress() -> bool:
        return bool(
            caller_server.in_progress or gate.in_progress or inner_port.is_sending
        )

    clock = asyncio.get_running_loop().time
    deadline = requested_at + stop_limit_s - STOP_MARGIN_S
    front.latest_deadline = deadline - RESPONSE_MARGIN_S
    caller_server.disable_keep_alive()
    await asyncio.sleep(requested_at + GATE_GRACE_S - clock())
    gate.leave()
    reporter.report_now()
    await asyncio.sleep(requested_at + CALLER_GRACE_S - clock())
    # A request accepted from here on might outlive the process.
    caller_server.refuse_requests(REFUSAL)
    # Callers may have waited for the ports to open, so their requests are still unread.
    await asyncio.sleep(CHECK_INTERVAL_S)
    while clock() < deadline and in_progress():
        await asyncio.sleep(CHECK_INTERVAL_S)
    drained = not in_progress()
    caller_server.end_requests(FINAL_RESPONSE)
    caller_server.close()
    await inner_port.close()
    return drained
