"""Models of a merged configuration."""

from typing import Annotated

import msgspec

__all__ = ["BudgetsModel", "Configuration", "RankModel", "ServiceModel"]

Name = Annotated[
    str,
    msgspec.Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9-]{0,63}\Z",
        description="letters, digits and hyphens, so that it fits in HTTP headers",
    ),
]


class RankModel(msgspec.Struct, frozen=True):
    """One rank of work within a service."""

    order: Annotated[
        int,
        msgspec.Meta(
            ge=0, le=99, description="priority; lower values are served first"
        ),
    ]
    floor: Annotated[
        float,
        msgspec.Meta(
            ge=0.0, le=1.0, description="share of the slots reserved for this rank"
        ),
    ] = 0.0
    worth: Annotated[
        float, msgspec.Meta(gt=0.0, description="value of one served request")
    ] = 1.0
    idempotent: Annotated[
        bool, msgspec.Meta(description="whether its requests may run more than once")
    ] = False


class BudgetsModel(msgspec.Struct, frozen=True):
    """The limits on what a service spends on measuring, links and retries."""

    measuring_bytes_per_s: Annotated[
        int, msgspec.Meta(ge=0, description="limit for measuring, in bytes per second")
    ] = 20_000
    link_bytes_per_s: Annotated[
        int,
        msgspec.Meta(
            ge=0, description="limit for traffic between regions, in bytes per second"
        ),
    ] = 1_000_000
    retry_ratio: Annotated[
        float,
        msgspec.Meta(ge=0.0, le=1.0, description="retries per first attempt"),
    ] = 0.1


class ServiceModel(msgspec.Struct, frozen=True):
    """One named service."""

    share: Annotated[
        float,
        msgspec.Meta(
            ge=0.0, le=1.0, description="share of the fleet that the service gets"
        ),
    ]
    ranks: dict[Name, RankModel]
    queue_limit: Annotated[
        int,
        msgspec.Meta(
            ge=0, le=10_000, description="limit of the requests queued at a gate"
        ),
    ] = 64
    attempts: Annotated[
        int,
        msgspec.Meta(ge=1, le=10, description="limit of the attempts for one request"),
    ] = 3
    budgets: BudgetsModel = BudgetsModel()


class Configuration(msgspec.Struct, frozen=True):
    """All settings that a revision puts in force."""

    services: dict[Name, ServiceModel]
    endpoints_at_most: Annotated[
        int,
        msgspec.Meta(
            ge=1,
            le=1_000_000,
            description=(
                "highest number of endpoints running at one time; each budget is "
                "divided among them"
            ),
        ),
    ] = 16
