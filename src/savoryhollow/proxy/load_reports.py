"""Reports of a gate's load to the daemons that place requests by it.

Most requests stay in their availability zone, so daemons of other zones ask for reports
less often. Each answer of a gate carries a report as well.
"""

import asyncio
import collections.abc
import dataclasses

from savoryhollow.proxy import gate as gate_module
from savoryhollow.proxy import inner
from savoryhollow.wire import messages

__all__ = ["OTHER_ZONE_INTERVAL_S", "OWN_ZONE_INTERVAL_S", "LoadReporter"]

# Change in pace that is reported to other daemons at once; 1 is the usual pace.
PACE_CHANGE_THRESHOLD = 0.3
# Minimum interval between load reports to one daemon, in s.
MIN_INTERVAL_S = 0.1
# Intervals for which daemons of the own availability zone and of other zones of the
# region ask, in s. They are shorter where few daemons listen, and longer where many do.
OWN_ZONE_INTERVAL_S = 0.1
OTHER_ZONE_INTERVAL_S = 0.3
# Interval at which an unchanged report is sent again, in s.
UNCHANGED_REPORT_INTERVAL_S = 0.5
# Time by which a report may be early, in s. Without it, a timer that fires slightly
# early would delay a report by a whole interval.
TIMER_MARGIN_S = 0.02
# Maximum number of reports sent per second, summed over all receiving daemons.
MAX_REPORTS_PER_S = 60


@dataclasses.dataclass(frozen=True, slots=True)
class _SentReport:
    """The last report that a listener got.

    :param report: the report.
    :param next_at: the time from which a report that differs is sent.
    :param resend_at: the time from which the report is sent again.
    """

    report: messages.LoadReport | None = None
    next_at: float = float("-inf")
    resend_at: float = float("-inf")


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
        self._sent_by_listener: dict[inner.Listener, _SentReport] = {}

    @property
    def stretch(self) -> float:
        """The factor on the intervals with which MAX_REPORTS_PER_S are sent."""
        intervals_s = self._inner_port.report_intervals_by_listener.values()
        wanted_per_s = sum(1 / interval_s for interval_s in intervals_s)
        return wanted_per_s / MAX_REPORTS_PER_S

    def report_now(self) -> None:
        """Send a report to every listener without waiting for the next interval."""
        self._send(list(self._inner_port.report_intervals_by_listener))

    def handle_load(self) -> None:
        """Apply the load that the backend server told, and report a change in pace."""
        old_pace = self._gate.queue.pace
        self._gate.update_pace()
        changed = abs(self._gate.queue.pace - old_pace) > PACE_CHANGE_THRESHOLD
        if changed and self.stretch <= 1.0:
            # Other daemons place requests by the pace, and a change is short-lived.
            self.report_now()

    async def run(self) -> None:
        """Send a report at each interval, unchanged ones less often; never return."""
        while True:
            await asyncio.sleep(MIN_INTERVAL_S)
            self.report_due()

    def report_due(self) -> None:
        """Send a report to each listener for which it is time."""
        listeners = self._inner_port.report_intervals_by_listener
        for listener in self._sent_by_listener.keys() - listeners.keys():
            del self._sent_by_listener[listener]
        report = self._gate.report()
        now = self._clock()
        self._send([one for one in listeners if self._is_due(one, report, now)])

    def _is_due(
        self, listener: inner.Listener, report: messages.LoadReport, now: float
    ) -> bool:
        sent = self._sent_by_listener.get(listener, _SentReport())
        return now >= (sent.next_at if report != sent.report else sent.resend_at)

    def _send(self, listeners: list[inner.Listener]) -> None:
        if not listeners:
            return
        report = self._gate.report()
        now = self._clock()
        stretch = self.stretch
        for listener in listeners:
            wanted_s = self._inner_port.report_intervals_by_listener[listener]
            interval_s = max(MIN_INTERVAL_S, stretch * wanted_s)
            next_at = now + interval_s - TIMER_MARGIN_S
            resend_at = max(next_at, now + UNCHANGED_REPORT_INTERVAL_S)
            sent = _SentReport(report, next_at, resend_at)
            self._sent_by_listener[listener] = sent
        self._inner_port.send_load(report, listeners)
