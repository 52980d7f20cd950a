"""The settings that a daemon reads once, when it starts."""

from typing import Annotated

import msgspec

__all__ = ["Address", "DaemonSettings", "Target"]

# Operator port where the settings name none.
DEFAULT_OPERATOR_PORT = 7082

IpAddress = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9A-Fa-f.:]+\Z", description="IP number")
]
LocationName = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


class Address(msgspec.Struct, frozen=True):
    """An address to listen on, by IP number."""

    host: IpAddress
    port: Annotated[
        int, msgspec.Meta(ge=0, le=65535, description="port; 0 picks a free one")
    ]


class Target(msgspec.Struct, frozen=True):
    """An address to connect to, by IP number."""

    host: IpAddress
    port: Annotated[int, msgspec.Meta(ge=1, le=65535, description="port")]


class DaemonSettings(msgspec.Struct, frozen=True):
    """Everything that a daemon is told by the instance it runs on."""

    endpoint_id: Annotated[
        str, msgspec.Meta(min_length=1, description="names the endpoint in the list")
    ]
    service: Annotated[
        str, msgspec.Meta(min_length=1, description="the service it belongs to")
    ]
    region: Annotated[
        LocationName, msgspec.Meta(description="the region of the instance")
    ]
    zone: Annotated[LocationName, msgspec.Meta(description="its availability zone")]
    front: Annotated[
        Address, msgspec.Meta(description="where callers are accepted over HTTP")
    ]
    inner: Annotated[
        Address, msgspec.Meta(description="where other daemons are accepted")
    ]
    backend: Annotated[
        Target, msgspec.Meta(description="the backend server of this instance")
    ]
    store: Annotated[
        Target, msgspec.Meta(description="the platform's configuration service")
    ]
    operator: Annotated[
        Address, msgspec.Meta(description="where metrics and dumps are served")
    ] = Address("127.0.0.1", DEFAULT_OPERATOR_PORT)
    slots: Annotated[
        int,
        msgspec.Meta(
            ge=1,
            le=4096,
            description="requests the backend server runs",
            extra={"unit": "requests"},
        ),
    ] = 9
    front_threads: Annotated[
        int,
        msgspec.Meta(
            ge=2,
            le=1024,
            description="calls served at one time",
            extra={"unit": "threads"},
        ),
    ] = 96
    max_body_bytes: Annotated[
        int, msgspec.Meta(ge=0, le=16 << 20, description="limit of a body, in bytes")
    ] = 1 << 20
    drain_limit_ms: Annotated[
        int, msgspec.Meta(ge=0, le=600_000, description="limit of a shutdown, in ms")
    ] = 30_000
    placement: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^(evidence|random|round-robin|least-in-flight|two-choices)\Z",
            description="how an endpoint is chosen",
        ),
    ] = "evidence"
    log_level: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^(debug|info|warning|error)\Z",
            description="the lowest level of event that is logged",
        ),
    ] = "info"
    placement_log_level: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^(debug|info|warning|error)\Z",
            description="the level of the event of each placement",
        ),
    ] = "debug"
    placement_records: Annotated[
        int,
        msgspec.Meta(
            ge=0,
            le=65536,
            description="placements and runs kept for traces",
            extra={"unit": "records"},
        ),
    ] = 4096
