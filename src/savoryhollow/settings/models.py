"""Models of the settings that a daemon reads once, at startup."""

from typing import Annotated

import msgspec

__all__ = ["Address", "DaemonSettings", "Target"]

# Default of the operator port.
DEFAULT_OPERATOR_PORT = 7082

IpAddress = Annotated[
    str, msgspec.Meta(pattern=r"^[0-9A-Fa-f.:]+\Z", description="IP address")
]
LocationName = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]


class Address(msgspec.Struct, frozen=True):
    """An IP address and port to listen on."""

    host: IpAddress
    port: Annotated[
        int, msgspec.Meta(ge=0, le=65535, description="port; 0 for any free port")
    ]


class Target(msgspec.Struct, frozen=True):
    """An IP address and port to connect to."""

    host: IpAddress
    port: Annotated[int, msgspec.Meta(ge=1, le=65535, description="port")]


class DaemonSettings(msgspec.Struct, frozen=True):
    """The settings of a daemon, specific to its instance."""

    endpoint_id: Annotated[
        str,
        msgspec.Meta(min_length=1, description="the id of the endpoint in the list"),
    ]
    service: Annotated[
        str, msgspec.Meta(min_length=1, description="the service of the endpoint")
    ]
    region: Annotated[
        LocationName, msgspec.Meta(description="the region of the instance")
    ]
    zone: Annotated[
        LocationName, msgspec.Meta(description="the availability zone of the instance")
    ]
    front: Annotated[
        Address, msgspec.Meta(description="where callers connect over HTTP")
    ]
    inner: Annotated[Address, msgspec.Meta(description="where other daemons connect")]
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
            description="requests that the backend server runs at the same time",
            extra={"unit": "requests"},
        ),
    ] = 9
    front_threads: Annotated[
        int,
        msgspec.Meta(
            ge=2,
            le=1024,
            description="calls served at the same time",
            extra={"unit": "threads"},
        ),
    ] = 96
    max_body_bytes: Annotated[
        int,
        msgspec.Meta(ge=0, le=16 << 20, description="maximum size of a body, in bytes"),
    ] = 1 << 20
    drain_limit_ms: Annotated[
        int,
        msgspec.Meta(
            ge=0, le=600_000, description="maximum duration of a shutdown, in ms"
        ),
    ] = 30_000
    placement: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^(evidence|random|round-robin|least-in-flight|two-choices)\Z",
            description="the policy that chooses an endpoint",
        ),
    ] = "evidence"
    log_level: Annotated[
        str,
        msgspec.Meta(
            pattern=r"^(debug|info|warning|error)\Z",
            description="the lowest level of events that are logged",
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
            description="number of placements and runs kept for traces",
            extra={"unit": "records"},
        ),
    ] = 4096
