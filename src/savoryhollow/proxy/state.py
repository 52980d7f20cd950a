"""The state of an event-loop daemon, as metrics and as a dump for operators."""

import typing

from savoryhollow.observe import events

if typing.TYPE_CHECKING:
    from savoryhollow.proxy import agent as agent_module

__all__ = ["DUMP_VERSION", "collect_gauges", "dump", "render_metrics"]

# Incremented when a key of the dump changes its meaning or is removed.
DUMP_VERSION = 1


def collect_gauges(agent: "agent_module.Agent") -> dict[str, tuple[str, float]]:
    """Return the current value and the help text of each gauge, by name."""
    queue = agent.gate.queue
    return {
        "slots": ("Requests that the gate runs at one time.", queue.slots),
        "slots_busy": ("Requests that hold a slot.", queue.busy),
        "queue_waiting": ("Requests that wait.", len(queue.waiting)),
        "pace": ("How long work takes at this moment; 1 is usual.", queue.pace),
        "known_endpoints": ("Endpoints known.", len(agent.members.endpoints_by_id)),
        "configuration_version": (
            "The version in force; -1 before the first.",
            agent.front.table.version if agent.front.table is not None else -1,
        ),
        "platform_revision": ("What is known of the platform.", agent.replica.as_of),
        "platform_confirmed_age_s": (
            "Time since it last confirmed, to any daemon, what is known here.",
            agent.replica.confirmed_age_s(agent.now),
        ),
        "platform_contact": ("Whether it answers.", agent.replica.in_contact),
        "backend_connections": ("Connections opened.", agent.runner.pool.opened_count),
        "log_lines_suppressed": (
            "Log lines beyond the limits.",
            sum(events.suppressed_by_event().values()),
        ),
        "log_lines_dropped": (
            "Log lines that their reader was too slow for.",
            events.dropped_count(),
        ),
        "links": ("Links to other daemons.", len(agent.router.links_by_host)),
    }


def dump(agent: "agent_module.Agent") -> dict[str, object]:
    """Return the state of this process, for operators."""
    now = agent.now
    return {
        "version": DUMP_VERSION,
        "instance": agent.settings.instance,
        "service": agent.settings.service,
        "stopping": agent.stopping,
        "reads_platform": agent.readers.reads_platform,
        "figures": {name: entry for name, (_, entry) in collect_gauges(agent).items()},
        "endpoints_by_id": {
            endpoint_id: {
                "service": entry.service,
                "host": entry.host,
                "zone": entry.zone,
                "state": entry.state.value,
            }
            for endpoint_id, entry in agent.members.endpoints_by_id.items()
        },
        "evidence_by_id": {
            endpoint_id: {
                "in_flight": entry.in_flight,
                "trusted": entry.trusted,
                "failure_share": round(entry.failure_share, 3),
                "report_age_s": round(min(now - entry.reported_at, 1e6), 3),
            }
            for endpoint_id, entry in agent.router.evidence_by_id.items()
        },
        "links_by_host": {
            host: {"connected": entry.connected, "failing": entry.failing}
            for host, entry in agent.router.links_by_host.items()
        },
        "repeats_left_by_service": {
            service: round(budget.remaining(now, len(agent.members.endpoints_by_id)), 2)
            for service, budget in agent.router.budgets_by_service.items()
        },
    }


def render_metrics(agent: "agent_module.Agent") -> bytes:
    """Return the metrics of a daemon in the Prometheus text format."""
    for name, (help_text, value) in collect_gauges(agent).items():
        agent.request_metrics.set_gauge(name, help_text, value)
    return agent.request_metrics.render()
