"""Reports of a gate's load to the daemons that place requests by it."""

import asyncio
import collections.abc

from savoryhollow.proxy import gate as gate_module
from savoryhollow.proxy import inner
from savoryhollow.wire import messages

__all__ = ["LoadReporter"]

# Change in pace that is reported to other daemons at once; 1 is the usual pace.
PACE_CHANGE_THRESHOLD = 0.3
# Interval between load reports to the daemons of the region, in s.
REPORT_INTERVAL_S = 0.1
# Interval at which an unchanged report is sent again, in s.
UNCHANGED_REPORT_INTERVAL_S = 0.5
# Maximum number of reports sent per second, summed over all receiving daemons.
MAX_REPORTS_PER_S = 60


class LoadReporter:
    """Sends the load reports of a gate.

    :param gate: the gate.
    :param inner_port: has the connections of the daemons that asked for reports.
    :param clock: returns the current time, in s.
    """

    def __init__(
        self,
        gate: gate_module.Gate,
        inner_port: inner.InnerPort,
        clock: collections.abc.Callable[[], float],
    ):
        self._gate = gate
        self._inner_port = inner_port
        self._clock = clock

    @property
    def interval_s(self) -> float:
        """The interval between reports that keeps to MAX_REPORTS_PER_S, in s."""
        return max(REPORT_INTERVAL_S, self._inner_port.listeners / MAX_REPORTS_PER_S)

    def report_now(self) -> None:
        """Send a report without waiting for the next interval."""
        self._inner_port.broadcast_load(self._gate.report())

    def handle_load(self) -> None:
        """Apply the load that the backend server told, and report a change in pace."""
        old_pace = self._gate.queue.pace
        self._gate.update_pace()
        changed = abs(self._gate.queue.pace - old_pace) > PACE_CHANGE_THRESHOLD
        if changed and self.interval_s <= REPORT_INTERVAL_S:
            # Other daemons place requests by the pace, and a change is short-lived.
            self.report_now()

    async def run(self) -> None:
        """Send a report at each interval, unchanged ones less often; never return."""
        last_report: messages.LoadReport | None = None
        resend_at = self._clock()
        while True:
            await asyncio.sleep(self.interval_s)
            report = self._gate.report()
            now = self._clock()
            if report != last_report or now >= resend_at:
                self._inner_port.broadcast_load(report)
                last_report = report
                resend_at = now + max(UNCHANGED_REPORT_INTERVAL_S, self.interval_s)
