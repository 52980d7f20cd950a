"""Accept or reject a revision by its content alone.

Every process reaches the same verdict on the same files, so a revision is in
force everywhere or nowhere. The faults of the files are told together; where
every file can be read, the faults of the merged document are told together.
"""

import json
import typing

from savoryhollow import errors
from savoryhollow.configuration import merging, models
from savoryhollow.settings import validation

__all__ = ["accept", "accept_merged", "merge_files"]

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
    return accept_merged(merge_files(texts_by_name))


def merge_files(texts_by_name: dict[str, str]) -> merging.MergedDocument:
    """Merge the files of a revision after a check of their sizes.

    :param texts_by_name: the texts of the files.
    :returns: the merged document and its origins.
    :raises errors.ConfigurationError: with the faults of every file.
    """
    problems = _check_sizes(texts_by_name)
    large = {problem.source for problem in problems}
    small = {name: text for name, text in texts_by_name.items() if name not in large}
    try:
        merged = merging.merge(small)
    except errors.ConfigurationError as error:
        problems.extend(error.problems)
    if problems:
        raise errors.ConfigurationError(_in_order(problems))
    return merged


def accept_merged(merged: merging.MergedDocument) -> models.Configuration:
    """Check a merged document.

    :param merged: the merged document and its origins.
    :returns: the configuration.
    :raises errors.ConfigurationError: with every fault found.
    """
    problems: list[errors.Problem] = []
    configuration = validation.convert(
        merged.document, models.Configuration, merged.origin, problems
    )
    services = _objects(merged.document.get("services"))
    problems.extend(_check_shares(services, merged))
    for name, service in services.items():
        problems.extend(_check_ranks(name, service, merged))
    if problems:
        raise errors.ConfigurationError(_in_order(problems))
    return configuration


def _in_order(problems: list[errors.Problem]) -> list[errors.Problem]:
    return sorted(problems, key=lambda p: (p.source, p.path, p.remedy, p.value))


def _check_sizes(texts_by_name: dict[str, str]) -> list[errors.Problem]:
    sizes_by_name = {
        name: len(text.encode(errors="surrogatepass"))
        for name, text in texts_by_name.items()
    }
    return [
        errors.Problem(name, "$", f"{size} bytes", "split it below 1,000,000 bytes")
        for name, size in sizes_by_name.items()
        if size > MAX_FILE_BYTES
    ]


# ---------------------------------------------------------------------------
#   Sums; values of a wrong type are told by the model and left out here
# ---------------------------------------------------------------------------


def _check_shares(
    services: dict[str, dict], merged: merging.MergedDocument
) -> list[errors.Problem]:
    total = _sum(service.get("share") for service in services.values())
    if total <= 1 + SHARE_TOLERANCE:
        return []
    remedy = "shares of all services add up to more than 1; lower some"
    origin = merged.origin("services")
    return [errors.Problem(origin, "services", f"{total:g}", remedy)]


def _check_ranks(
    name: str, service: dict[str, typing.Any], merged: merging.MergedDocument
) -> list[errors.Problem]:
    path = validation.join_path(validation.join_path("services", name), "ranks")
    origin = merged.origin(path)
    ranks = _objects(service.get("ranks"))
    floors = _sum(rank.get("floor") for rank in ranks.values())
    orders = [rank.get("order") for rank in ranks.values()]
    problems = []
    if floors > 1 + SHARE_TOLERANCE:
        remedy = "floors of all ranks add up to more than 1; lower some"
        problems.append(errors.Problem(origin, path, f"{floors:g}", remedy))
    texts = [json.dumps(order) for order in orders if isinstance(order, int)]
    if len(set(texts)) != len(texts) or not orders:
        remedy = "give the service ranks, each with an order of its own"
        text = f"[{', '.join(sorted(texts))}]"
        problems.append(errors.Problem(origin, path, text, remedy))
    return problems


def _objects(value: typing.Any) -> dict[str, dict[str, typing.Any]]:
    if not isinstance(value, dict):
        return {}
    return {key: item for key, item in value.items() if isinstance(item, dict)}


def _sum(values: typing.Iterable[typing.Any]) -> float:
    return sum(
        value
        for value in values
        if isinstance(value, int | float) and not isinstance(value, bool) and value > 0
    )
