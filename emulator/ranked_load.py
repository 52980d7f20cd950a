"""Load by rank: what every rank of a deployment asks for, calm or flooded."""

import dataclasses

from emulator import deployment, load, plans
from savoryhollow.configuration import acceptance, models

__all__ = ["RankedLoad", "capacity_per_s", "sorted_ranks", "with_long_requests"]

# Mean time that a request runs, by the place of its service in the plan, in ms.
# Longer than in the plans, so that one machine can flood them.
SERVICE_MS = (200.0, 300.0)
# What a flooded rank asks for, as a multiple of the capacity of its service.
FLOOD_FACTOR = 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class RankedLoad:
    """Load on every rank of a deployment.

    :param share_of_floor: what a rank asks for, as a share of its floor.
    :param flooded: the place of the flooded rank in the order, negative from
        the end; None where there is no flood.
    """

    share_of_floor: float
    flooded_index: int | None
    deadline_ms: int

    def streams(self, running: deployment.Deployment) -> list[load.Stream]:
        """Return the streams of a deployment, by service and order of rank."""
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
    """Return a plan whose requests run long enough to be flooded."""
    services = tuple(
        dataclasses.replace(service, service_ms=service_ms)
        for service, service_ms in zip(plan.services, SERVICE_MS, strict=True)
    )
    return dataclasses.replace(plan, services=services)


def capacity_per_s(plan: plans.DeploymentPlan, service: plans.ServicePlan) -> float:
    """Return the requests a second that all slots of a service can run."""
    return service.endpoints * plan.slots * 1000 / service.service_ms


def sorted_ranks(
    plan: plans.DeploymentPlan, service: str
) -> list[tuple[str, models.RankModel]]:
    """Return the ranks of a service, the most urgent first."""
    found = acceptance.accept(plan.files).services[service].ranks
    return sorted(found.items(), key=lambda item: item[1].order)
