"""The models of a merged configuration."""

from typing import Annotated

import msgspec

__all__ = ["BudgetsModel", "Configuration", "RankModel", "ServiceModel"]

Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9-]{0,63}\Z",
        description="letters, digits and -, as the headers of callers carry them",
    ),
]


class RankModel(msgspec.Struct, frozen=True):
    """One rank of work within a service."""

    order: Annotated[
        int, msgspec.Meta(ge=0, le=99, description="lower is served first")
    ]
    floor: Annotated[
        float,
        msgspec.Meta(ge=0.0, le=1.0, description="share of the slots kept for it"),
    ] = 0.0
    worth: Annotated[
        float, msgspec.Meta(gt=0.0, description="worth of one served request")
    ] = 1.0
    idempotent: Annotated[
        bool, msgspec.Meta(description="whether its requests may run more than once")
    ] = False


class BudgetsModel(msgspec.Struct, frozen=True):
    """What a service may spend."""

    measuring_bytes_per_s: Annotated[
        int, msgspec.Meta(ge=0, description="spent on measuring, in bytes per second")
    ] = 20_000
    link_bytes_per_s: Annotated[
        int, msgspec.Meta(ge=0, description="sent between regions, in bytes per second")
    ] = 1_000_000
    retry_ratio: Annotated[
        float,
        msgspec.Meta(ge=0.0, le=1.0, description="retries per first attempt"),
    ] = 0.1


class ServiceModel(msgspec.Struct, frozen=True):
    """One named service."""

    share: Annotated[
        float, msgspec.Meta(ge=0.0, le=1.0, description="its share of the fleet")
    ]
    ranks: dict[Name, RankModel]
    queue_limit: Annotated[
        int, msgspec.Meta(ge=0, le=10_000, description="requests waiting at a gate")
    ] = 64
    attempts: Annotated[
        int, msgspec.Meta(ge=1, le=10, description="attempts made for one request")
    ] = 3
    budgets: BudgetsModel = BudgetsModel()


class Configuration(msgspec.Struct, frozen=True):
    """Everything that a revision puts in force."""

    services: dict[Name, ServiceModel]
