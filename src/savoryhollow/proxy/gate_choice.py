"""Choose the gate that a call is sent to next, and whether it may be queued there.

A call is first sent to gates of the own region that may start it at once. Such a gate
bounces a call that would have to wait, so that the router can try another one. Gates
whose last report shows no free slot aren't asked; if none shows one, the call is queued
where the expected cost is lowest.

This module does no I/O; the caller passes the candidates and the current time.
"""

import collections.abc

from savoryhollow.proxy import attempts
from savoryhollow.routing import nearby, placement

__all__ = ["MAX_FULL_BOUNCES", "MAX_TOTAL_BOUNCES", "choose"]

# Bounces after which a call may be queued. The first limit counts only the gates
# without a free slot. The second counts all gates and is higher: most gates are not in
# a slow spell, so one of these is soon found.
MAX_FULL_BOUNCES = 3
MAX_TOTAL_BOUNCES = 6


def choose(
    policy: nearby.LocalityPolicy,
    candidates: collections.abc.Sequence[placement.Candidate],
    requirements: nearby.Requirements,
    progress: attempts.Progress,
) -> nearby.Decision | None:
    """Return the gate of the next attempt, or None if there is none.

    :param policy: chooses one of several candidates.
    :param candidates: the endpoints that the call may be sent to.
    :param requirements: the requirements of the call.
    :param progress: the results of the call's attempts so far; ``patient`` is set if
        the chosen gate may queue the call.
    """
    useful = [c for c in candidates if _is_useful(policy, c, requirements, progress)]
    if not progress.patient and _may_bounce_again(progress):
        remaining = [
            c
            for c in useful
            if not policy.is_in_own_region(c) or _may_start(c, requirements, progress)
        ]
        if any(policy.is_in_own_region(c) for c in remaining):
            return policy.choose(remaining, requirements)
    progress.patient = True
    if not progress.bounced:
        return policy.choose(useful, requirements)
    # In the own region, prefer the gates that bounced the call: they have just
    # reported their load, and waits there are short.
    preferred = [
        c for c in useful if _has_bounced(c, progress) or not policy.is_in_own_region(c)
    ]
    return policy.choose(preferred or useful, requirements)


def _is_useful(policy, candidate, requirements, progress) -> bool:
    """Return False for a gate that will most likely refuse the call.

    The first gate of the own region is asked in any case, as reports may be outdated.
    """
    is_first = not progress.asked and policy.is_in_own_region(candidate)
    return is_first or nearby.can_start_in_time(candidate, requirements)


def _may_bounce_again(progress) -> bool:
    return (
        len(progress.bounced) < MAX_TOTAL_BOUNCES and progress.full < MAX_FULL_BOUNCES
    )


def _may_start(candidate, requirements, progress) -> bool:
    """Return True if a gate hasn't bounced the call and may start it at once."""
    return not _has_bounced(candidate, progress) and nearby.can_start_at_once(
        candidate, requirements.now
    )


def _has_bounced(candidate, progress) -> bool:
    return candidate.endpoint.endpoint_id in progress.bounced
