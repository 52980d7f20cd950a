"""Read the settings file that the platform writes on each instance."""

import contextlib
import math
import pathlib
import tomllib
import typing

import msgspec

from savoryhollow import decoding, errors
from savoryhollow.proxy import options
from savoryhollow.settings import models

__all__ = ["BootSettings", "read"]

_Port = typing.Annotated[int, msgspec.Meta(gt=0, le=65_535)]
# Port on which metrics are served; ``deploy/system.toml`` contains it too.
METRICS_PORT = 9464
# Defaults of bounds that the file doesn't contain.
DEFAULT_GRACE_S = 6.0
DEFAULT_RETRY_RATIO = 0.2
DEFAULT_RETRY_WINDOW_S = 10.0
# Memory that the process may use if the file doesn't say, in MB.
DEFAULT_MEMORY_MB = 300.0
# Memory that the process uses for everything but the bodies of requests, in bytes.
OTHER_MEMORY_BYTES = 80 << 20
MIN_BODY_MEMORY_BYTES = 16 << 20


class _Listen(msgspec.Struct, frozen=True):
    inbound: str
    outbound: str
    ready: str
    control: str | None = None


class _Store(msgspec.Struct, frozen=True):
    address: str


class _Limits(msgspec.Struct, frozen=True):
    memory_mb: float = DEFAULT_MEMORY_MB


class _BootFile(msgspec.Struct, frozen=True):
    """The content of the settings file.

    :param node: the name of the instance.
    :param app_addr: the address of the backend server on the instance.
    :param seeds: the addresses of a few other daemons, for their inner protocol.
    :param bounds: strings of the form ``name=value``.
    :param zones: the region of each availability zone.
    """

    node: str
    ip: str
    zone: str
    region: str
    app_addr: str
    service: str
    listen: _Listen
    platform: _Store
    zones: dict[str, str]
    limits: _Limits = _Limits()
    seeds: list[str] = []
    bounds: list[str] = []


class BootSettings(msgspec.Struct, frozen=True):
    """The settings that the adapter and its agent use.

    :param agent: the settings of the agent.
    :param store: the address of the platform's store.
    :param regions_by_zone: the region of each availability zone.
    :param inner_port: the port of the inner protocol, the same on all daemons.
    """

    agent: options.AgentSettings
    store: models.Target
    regions_by_zone: dict[str, str]
    inner_port: int


def read(path: pathlib.Path) -> BootSettings:
    """Read and validate the settings file.

    :raises errors.SettingsError: if the file can't be read or is invalid.
    """
    try:
        text = path.read_text()
        parsed = msgspec.convert(tomllib.loads(text), _BootFile)
        return _convert(parsed)
    except (OSError, *decoding.FAILURES) as error:
        remedy = f"have the platform rewrite it: {error}"
        problem = errors.Problem(str(path), "$", "-", remedy)
        raise errors.SettingsError([problem]) from error


def _convert(file: _BootFile) -> BootSettings:
    bounds = _parse_bounds(file.bounds)
    inner = [_parse_address(file.listen.inbound)]
    if file.listen.control:
        inner.append(_parse_address(file.listen.control))
    rules = options.RetryRules(
        ratio=bounds.get("retry_budget_ratio", DEFAULT_RETRY_RATIO),
        slack=bounds.get("retry_budget_slack", 0.0),
        window_s=bounds.get("budget_window_s", DEFAULT_RETRY_WINDOW_S),
    )
    settings = options.AgentSettings(
        instance=file.node,
        service=file.service,
        region=file.region,
        zone=file.zone,
        front=_parse_address(file.listen.outbound),
        inner=tuple(inner),
        readiness=_parse_address(file.listen.ready),
        metrics=models.Address(file.ip, METRICS_PORT),
        backend=_parse_target(file.app_addr),
        retry_rules=rules,
        body_memory_bytes=max(
            MIN_BODY_MEMORY_BYTES,
            int(file.limits.memory_mb * (1 << 20)) - OTHER_MEMORY_BYTES,
        ),
        stop_limit_s=bounds.get("grace_s", DEFAULT_GRACE_S),
        seeds=_parse_seeds(file.seeds),
    )
    return BootSettings(
        agent=settings,
        store=_parse_target(file.platform.address),
        regions_by_zone=file.zones,
        inner_port=inner[0].port,
    )


def _parse_bounds(texts: list[str]) -> dict[str, float]:
    values_by_name = {}
    for text in texts:
        name, _, text_value = text.partition("=")
        try:
            value = float(text_value)
        except ValueError:
            # Bounds that aren't numbers, such as true and false, aren't used here.
            continue
        if math.isfinite(value):
            values_by_name[name] = value
    return values_by_name


def _parse_seeds(texts: list[str]) -> tuple[models.Target, ...]:
    """Return the usable seeds; they may be out of date, and the others will do."""
    seeds = []
    for text in texts:
        with contextlib.suppress(*decoding.FAILURES):
            seeds.append(_parse_target(text))
    return tuple(seeds)


def _parse_address(text: str) -> models.Address:
    return models.Address(*_split_address(text))


def _parse_target(text: str) -> models.Target:
    return models.Target(*_split_address(text))


def _split_address(text: str) -> tuple[str, int]:
    host, _, port_text = text.rpartition(":")
    return host, msgspec.convert(int(port_text), _Port)
