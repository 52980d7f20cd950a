"""Describe how to correct an invalid key or value."""

import difflib
import typing

import msgspec

__all__ = ["for_unknown_key", "for_value"]

# Factor from each unit of a rate to bytes per second.
RATES_BY_SUFFIX = {
    "bit_per_s": 0.125,
    "bits_per_s": 0.125,
    "kbit_per_s": 125.0,
    "mbit_per_s": 125_000.0,
    "gbit_per_s": 125_000_000.0,
    "byte_per_s": 1.0,
    "bytes_per_s": 1.0,
    "kb_per_s": 1_000.0,
    "kbytes_per_s": 1_000.0,
    "mb_per_s": 1_000_000.0,
    "mbytes_per_s": 1_000_000.0,
    "kib_per_s": 1_024.0,
    "mib_per_s": 1_048_576.0,
}
# Factor from each unit of time to milliseconds.
TIMES_BY_SUFFIX = {
    "us": 0.001,
    "ms": 1.0,
    "s": 1_000.0,
    "seconds": 1_000.0,
    "minutes": 60_000.0,
}
# Factor from each unit of a ratio to a plain ratio.
RATIOS_BY_SUFFIX = {"ratio": 1.0, "percent": 0.01, "pct": 0.01, "permille": 0.001}
_SCALES = (RATES_BY_SUFFIX, TIMES_BY_SUFFIX, RATIOS_BY_SUFFIX)
# Largest value that is assumed to be a percentage.
MAX_PERCENT = 100


def for_unknown_key(key: str, known_keys: tuple[str, ...]) -> str:
    """Return the remedy for a key that the model doesn't have.

    :param key: the key as written.
    :param known_keys: the keys of the model.
    :returns: what to write instead, with a conversion factor if the units differ.
    """
    for expected in known_keys:
        factor = _conversion_factor(key, expected)
        if factor is not None:
            return f"wrong unit; write {expected} with the number times {factor:g}"
    close_matches = difflib.get_close_matches(key, known_keys, 1)
    if close_matches:
        return f"unknown key; write {close_matches[0]} or remove it"
    return f"unknown key; remove it or write one of {', '.join(known_keys)}"


def for_value(value: typing.Any, model: typing.Any, detail: str) -> str:
    """Return the remedy for a value that is invalid for its model.

    :param value: the value.
    :param model: the annotated type of the value.
    :param detail: the message of the validator.
    :returns: what to write instead.
    """
    if isinstance(value, str) and _is_number(value) and not _accepts_text(model):
        return f"write the number without quotes: {value.strip()}"
    if _is_fraction(model) and _is_percentage(value):
        return f"write a fraction from 0 to 1: {value / 100:g}"
    return detail.replace("`", "").lower()


def _conversion_factor(key: str, expected: str) -> float | None:
    for scale in _SCALES:
        for suffix, factor in scale.items():
            for expected_suffix, expected_factor in scale.items():
                stem = key.removesuffix("_" + suffix)
                same_stem = stem == expected.removesuffix("_" + expected_suffix)
                if same_stem and stem not in (key, expected):
                    return factor / expected_factor
    return None


def _is_number(text: str) -> bool:
    try:
        float(text)
    except ValueError:
        return False
    return True


def _accepts_text(model: typing.Any) -> bool:
    return str in (model, *typing.get_args(model))


def _is_fraction(model: typing.Any) -> bool:
    return any(
        isinstance(part, msgspec.Meta) and part.le == 1.0
        for part in typing.get_args(model)
    )


def _is_percentage(value: typing.Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 1 < value <= MAX_PERCENT
