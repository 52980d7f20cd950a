"""The plans of the current deployments, at their real sizes."""

import dataclasses

__all__ = ["COULEE", "HOLLINGWORTH", "DeploymentPlan", "PLANS_BY_NAME", "ServicePlan"]


@dataclasses.dataclass(frozen=True, slots=True)
class ServicePlan:
    """A service of a deployment.

    :param endpoints: the number of endpoints.
    :param service_ms: the mean run time of a request, in ms.
    """

    name: str
    endpoints: int
    service_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """A deployment.

    :param store_region: the region of the configuration service.
    :param files: the text of each configuration file by name.
    :param slots: the number of slots per backend server.
    :param delay_ms: the one-way delay of the link between regions, in ms.
    :param link_bits_per_s: the bandwidth of the link, in bits per second.
    """

    name: str
    regions: tuple[str, ...]
    zones_per_region: int
    services: tuple[ServicePlan, ...]
    store_region: str
    files: dict[str, str]
    slots: int = 9
    delay_ms: float = 30.0
    link_bits_per_s: float = 30e6


COULEE = DeploymentPlan(
    name="coulee",
    regions=("prairie-east", "prairie-west"),
    zones_per_region=2,
    services=(ServicePlan("dispatch", 5, 40.0), ServicePlan("maintenance", 4, 60.0)),
    store_region="prairie-east",
    files={
        "10-services.json": """{
  "services": {
    "dispatch": {
      "share": 0.55,
      "ranks": {
        "lookup": {"order": 0, "floor": 0.3, "worth": 20, "idempotent": true},
        "booking": {"order": 1, "floor": 0.2, "worth": 10},
        "search": {"order": 2, "floor": 0.1, "worth": 1, "idempotent": true}
      }
    },
    "maintenance": {
      "share": 0.45,
      "ranks": {
        "record": {"order": 0, "floor": 0.3, "worth": 10, "idempotent": true},
        "order": {"order": 1, "floor": 0.2, "worth": 8},
        "report": {"order": 2, "floor": 0.1, "worth": 1, "idempotent": true}
      }
    }
  }
}
""",
        "20-budgets.json": """{
  "endpoints_at_most": 10,
  "services": {
    "dispatch": {"budgets": {"link_bytes_per_s": 1000000, "retry_ratio": 0.1}},
    "maintenance": {"budgets": {"link_bytes_per_s": 500000, "retry_ratio": 0.1}}
  }
}
""",
    },
)

HOLLINGWORTH = DeploymentPlan(
    name="hollingworth",
    regions=("brisbane", "toowoomba"),
    zones_per_region=2,
    services=(ServicePlan("parish", 6, 40.0), ServicePlan("workshop", 5, 60.0)),
    store_region="brisbane",
    files={
        "10-services.json": """{
  "services": {
    "parish": {
      "share": 0.55,
      "ranks": {
        "enquiry": {"order": 0, "floor": 0.3, "worth": 10, "idempotent": true},
        "condition": {"order": 1, "floor": 0.3, "worth": 5, "idempotent": true},
        "archive": {"order": 2, "floor": 0.2, "worth": 1, "idempotent": true}
      }
    },
    "workshop": {
      "share": 0.45,
      "ranks": {
        "carting": {"order": 0, "floor": 0.3, "worth": 10},
        "commission": {"order": 1, "floor": 0.3, "worth": 8},
        "ledger": {"order": 2, "floor": 0.2, "worth": 1, "idempotent": true}
      }
    }
  }
}
""",
        "20-budgets.json": """{
  "endpoints_at_most": 12,
  "services": {
    "parish": {"budgets": {"link_bytes_per_s": 200000, "retry_ratio": 0.1}},
    "workshop": {"budgets": {"link_bytes_per_s": 100000, "retry_ratio": 0.1}}
  }
}
""",
    },
)

PLANS_BY_NAME = {plan.name: plan for plan in (COULEE, HOLLINGWORTH)}
