"""Accept or reject a configuration revision by its content alone.

Every process comes to the same result for the same files, so a revision is in
force everywhere or nowhere. All problems of the files are reported together. If
every file can be parsed, all problems of the merged document are reported together.
"""

import json
import typing

from savoryhollow import errors
from savoryhollow.configuration import merging, models
from savoryhollow.settings import validation

__all__ = ["accept", "accept_merged", "merge_files"]

# Limit for one file, because the platform stores no larger value, in bytes.
MAX_FILE_BYTES = 1_000_000
# Tolerance for rounding errors in sums of decimal shares.
SHARE_TOLERANCE = 1e-9


def accept(texts_by_name: dict[str, str]) -> models.Configuration:
    """Merge and validate the files of a revision.

    :param texts_by_name: the contents of the files, by file name.
    :returns: the configuration.
    :raises errors.ConfigurationError: with all problems found.
    """
    return accept_merged(merge_files(texts_by_name))


def merge_files(texts_by_name: dict[str, str]) -> merging.MergedDocument:
    """Check the sizes of the files of a revision and merge them.

    :param texts_by_name: the contents of the files, by file name.
    :returns: the merged document and its origins.
    :raises errors.ConfigurationError: with the problems of all files.
    """
    problems = _check_sizes(texts_by_name)
    oversized = {problem.source for problem in problems}
    readable = {
        name: text for name, text in texts_by_name.items() if name not in oversized
    }
    try:
        merged = merging.merge(readable)
    except errors.ConfigurationError as error:
        problems.extend(error.problems)
    if problems:
        raise errors.ConfigurationError(_sort_problems(problems))
    return merged


def accept_merged(merged: merging.MergedDocument) -> models.Configuration:
    """Validate a merged document.

    :param merged: the merged document and its origins.
    :returns: the configuration.
    :raises errors.ConfigurationError: with all problems found.
    """
    problems: list[errors.Problem] = []
    configuration = validation.convert(
        merged.document, models.Configuration, merged.origin, problems
    )
    services = _object_entries(merged.document.get("services"))
    problems.extend(_check_shares(services, merged))
    for name, service in services.items():
        problems.extend(_check_ranks(name, service, merged))
    if problems:
        raise errors.ConfigurationError(_sort_problems(problems))
    return configuration


def _sort_problems(problems: list[errors.Problem]) -> list[errors.Problem]:
    return sorted(problems, key=lambda p: (p.source, p.path, p.remedy, p.value))


def _check_sizes(texts_by_name: dict[str, str]) -> list[errors.Problem]:
    sizes_by_name = {
        name: len(text.encode(errors="surrogatepass"))
        for name, text in texts_by_name.items()
    }
    return [
        errors.Problem(
            name, "$", f"{size} bytes", "split it into files of at most 1,000,000 bytes"
        )
        for name, size in sizes_by_name.items()
        if size > MAX_FILE_BYTES
    ]


# ---------------------------------------------------------------------------
#   Sums; values of a wrong type are reported by the model and skipped here
# ---------------------------------------------------------------------------


def _check_shares(
    services: dict[str, dict], merged: merging.MergedDocument
) -> list[errors.Problem]:
    share_sum = _sum_positive_numbers(
        service.get("share") for service in services.values()
    )
    if share_sum <= 1 + SHARE_TOLERANCE:
        return []
    remedy = "the shares of all services add up to more than 1; lower some"
    origin = merged.origin("services")
    return [errors.Problem(origin, "services", f"{share_sum:g}", remedy)]


def _check_ranks(
    name: str, service: dict[str, typing.Any], merged: merging.MergedDocument
) -> list[errors.Problem]:
    path = validation.join_path(validation.join_path("services", name), "ranks")
    origin = merged.origin(path)
    ranks = _object_entries(service.get("ranks"))
    floor_sum = _sum_positive_numbers(rank.get("floor") for rank in ranks.values())
    orders = [rank.get("order") for rank in ranks.values()]
    problems = []
    if floor_sum > 1 + SHARE_TOLERANCE:
        remedy = "the floors of all ranks add up to more than 1; lower some"
        problems.append(errors.Problem(origin, path, f"{floor_sum:g}", remedy))
    encoded_orders = [json.dumps(order) for order in orders if isinstance(order, int)]
    if len(set(encoded_orders)) != len(encoded_orders) or not orders:
        remedy = "give the service at least one rank and each rank an order of its own"
        text = f"[{', '.join(sorted(encoded_orders))}]"
        problems.append(errors.Problem(origin, path, text, remedy))
    return problems


def _object_entries(value: typing.Any) -> dict[str, dict[str, typing.Any]]:
    if not isinstance(value, dict):
        return {}
    return {key: item for key, item in value.items() if isinstance(item, dict)}


def _sum_positive_numbers(values: typing.Iterable[typing.Any]) -> float:
    return sum(
        value
        for value in values
        if isinstance(value, int | float) and not isinstance(value, bool) and value > 0
    )
