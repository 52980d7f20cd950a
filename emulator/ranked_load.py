"""Load on all ranks of a deployment, with or without a flood of one rank."""

import dataclasses

from emulator import deployment, load, plans
from savoryhollow.configuration import acceptance, models

__all__ = ["RankedLoad", "capacity_per_s", "sorted_ranks", "with_long_requests"]

# Mean run time of a request, in ms, by the position of its service in the plan.
# Longer than in the plans, so that one machine can flood them.
SERVICE_MS = (200.0, 300.0)
# Load of a flooded rank, as a multiple of the capacity of its service.
FLOOD_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class RankedLoad:
    """The load on each rank of a deployment.

    :param share_of_floor: the load of a rank, as a share of its floor.
    :param flooded_index: the index of the flooded rank in the order of urgency,
        negative from the end; None for no flood.
    :param deadline_ms: the deadline of each request, in ms.
    """

    share_of_floor: float
    flooded_index: int | None
    deadline_ms: int

    def make_streams(self, running: deployment.Deployment) -> list[load.Stream]:
        """Return the streams of a deployment, sorted by service and order of rank."""
        plan = running.plan
        urls = tuple(running.front_url(i) for i in running.instances_by_id.values())
        streams = []
        for service in plan.services:
            service_ranks = sorted_ranks(plan, service.name)
            for index, (rank, model) in enumerate(service_ranks):
                share = self.share_of_floor * model.floor
                if self.flooded_index is not None and index == self.flooded_index % len(
                    service_ranks
                ):
                    share = FLOOD_FACTOR
                streams.append(
                    load.Stream(
                        f"{service.name}/{rank}",
                        urls,
                        service.name,
                        rank,
                        share * capacity_per_s(plan, service),
                        self.deadline_ms,
                        model.idempotent,
                    )
                )
        return streams


def with_long_requests(plan: plans.DeploymentPlan) -> plans.DeploymentPlan:
    """Return a copy of a plan with requests long enough for one machine to flood it."""
    services = tuple(
        dataclasses.replace(service, service_ms=service_ms)
        for service, service_ms in zip(plan.services, SERVICE_MS, strict=True)
    )
    return dataclasses.replace(plan, services=services)


def capacity_per_s(plan: plans.DeploymentPlan, service: plans.ServicePlan) -> float:
    """Return the capacity of all slots of a service, in requests per second."""
    return service.endpoints * plan.slots * 1000 / service.service_ms


def sorted_ranks(
    plan: plans.DeploymentPlan, service: str
) -> list[tuple[str, models.RankModel]]:
    """Return the ranks of a service with their names, the most urgent first."""
    ranks_by_name = acceptance.accept(plan.files).services[service].ranks
    return sorted(ranks_by_name.items(), key=lambda item: item[1].order)
