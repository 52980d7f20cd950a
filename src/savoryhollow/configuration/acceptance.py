"""Accept or reject a revision by its content alone.

Every process reaches the same verdict on the same files, so a revision is in
force everywhere or nowhere.
"""

import json

from savoryhollow import errors
from savoryhollow.configuration import merging, models
from savoryhollow.settings import validation

__all__ = ["accept"]

# Limit of one file, as the platform holds no larger value, in bytes.
MAX_FILE_BYTES = 1_000_000
# Tolerance for sums of shares written in decimals.
SHARE_TOLERANCE = 1e-9


def accept(texts_by_name: dict[str, str]) -> models.Configuration:
    """Merge and check the files of a revision.

    :param texts_by_name: the texts of the files.
    :returns: the configuration.
    :raises errors.ConfigurationError: with every fault found.
    """
    problems = _check_sizes(texts_by_name)
    if problems:
        raise errors.ConfigurationError(problems)
    merged = merging.merge(texts_by_name)
    configuration = validation.convert(
        merged.document, models.Configuration, merged.origin, problems
    )
    if configuration is not None and not problems:
        problems = _check_shares(configuration, merged)
    if problems:
        raise errors.ConfigurationError(problems)
    return configuration


def _check_sizes(texts_by_name: dict[str, str]) -> list[errors.Problem]:
    return [
        errors.Problem(
            name, "$", f"{len(text.encode())} bytes", "split it below 1,000,000 bytes"
        )
        for name, text in texts_by_name.items()
        if len(text.encode()) > MAX_FILE_BYTES
    ]


def _check_shares(
    configuration: models.Configuration, merged: merging.Merged
) -> list[errors.Problem]:
    problems = []
    total = sum(service.share for service in configuration.services.values())
    if total > 1 + SHARE_TOLERANCE:
        remedy = "shares of all services add up to more than 1; lower some"
        problems.append(
            errors.Problem(merged.origin("services"), "services", str(total), remedy)
        )
    for name, service in configuration.services.items():
        path = f"services.{name}.ranks"
        floors = sum(rank.floor for rank in service.ranks.values())
        orders = [rank.order for rank in service.ranks.values()]
        if floors > 1 + SHARE_TOLERANCE:
            remedy = "floors of all ranks add up to more than 1; lower some"
            problems.append(
                errors.Problem(merged.origin(path), path, str(floors), remedy)
            )
        if len(set(orders)) != len(orders) or not orders:
            remedy = "give the service ranks, each with an order of its own"
            text = json.dumps(orders)
            problems.append(errors.Problem(merged.origin(path), path, text, remedy))
    return problems
