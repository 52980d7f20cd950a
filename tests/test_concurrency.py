import hypothesis
from hypothesis import strategies

from savoryhollow import calls
from savoryhollow.configuration import acceptance
from savoryhollow.routing import concurrency, limiting

CONFIGURATION = acceptance.accept(
    {
        "10.json": """{"services": {
  "a": {"share": 0.5, "ranks": {
    "urgent": {"order": 0, "floor": 0.4},
    "late": {"order": 2, "floor": 0.2}}},
  "b": {"share": 0.5, "ranks": {
    "urgent": {"order": 0, "floor": 0.4},
    "late": {"order": 1, "floor": 0.2}}}}}"""
    }
)
THREADS = 96
KEYS = [
    concurrency.RankKey(service, rank)
    for service in ("a", "b")
    for rank in ("urgent", "late")
]


def make_limits(threads=THREADS):
    limits = concurrency.ConcurrencyLimits(threads)
    limits.configure(CONFIGURATION)
    return limits


def acquire_all(limits, key):
    count = 0
    while limits.try_acquire(key):
        count += 1
    return count


def reserved(share, floor):
    usable = int(THREADS * (1 - concurrency.REFUSAL_SHARE))
    return int(share * floor * concurrency.RESERVED_SHARE * usable)


def test_urgent_calls_get_a_quarter_of_the_threads_under_a_flood_of_late_calls():
    limits = make_limits()
    acquire_all(limits, concurrency.RankKey("a", "late"))
    assert acquire_all(limits, concurrency.RankKey("a", "urgent")) >= THREADS // 4


def test_a_flood_of_the_least_urgent_rank_leaves_urgent_ranks_their_share():
    limits = make_limits()
    assert acquire_all(limits, concurrency.RankKey("a", "late")) <= THREADS // 2
    assert acquire_all(limits, concurrency.RankKey("a", "urgent")) >= reserved(0.5, 0.4)


def test_a_flood_of_the_most_urgent_rank_leaves_other_ranks_their_reservations():
    limits = make_limits()
    acquire_all(limits, concurrency.RankKey("a", "urgent"))
    assert acquire_all(limits, concurrency.RankKey("a", "late")) >= reserved(0.5, 0.2)
    assert acquire_all(limits, concurrency.RankKey("b", "late")) >= reserved(0.5, 0.2)
    assert acquire_all(limits, concurrency.RankKey("b", "urgent")) >= reserved(0.5, 0.4)


def test_some_threads_stay_free_for_refusing_calls():
    limits = make_limits()
    for key in KEYS * 2:
        acquire_all(limits, key)
    assert limits.in_progress <= THREADS * (1 - concurrency.REFUSAL_SHARE)


def test_a_call_of_an_unknown_rank_is_passed_to_the_router():
    limits = make_limits()
    unknown = concurrency.RankKey("a", "unheard-of")
    assert limits.try_acquire(unknown)
    limits.release(unknown)
    assert limits.in_progress == 0


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.sampled_from([*KEYS, "end", "configure"])),
    strategies.integers(2, 40),
)
def test_counts_stay_consistent_and_within_the_threads(steps, threads):
    limits = make_limits(threads)
    acquired = []
    for step in steps:
        if step == "configure":
            limits.configure(CONFIGURATION)
        elif step == "end" and acquired:
            limits.release(acquired.pop(0))
        elif step != "end" and limits.try_acquire(step):
            acquired.append(step)
        assert limits.in_progress == len(acquired) <= threads
    for key in acquired:
        limits.release(key)
    new_limits = make_limits(threads)
    for key in KEYS:
        assert acquire_all(limits, key) == acquire_all(new_limits, key)


def test_a_refused_call_is_answered_at_once_as_not_run():
    nested = []

    def route(call):
        nested.append(call.request_id)
        return limited.route(call)

    limited = limiting.LimitedRoute(THREADS, route)
    limited.configure(CONFIGURATION)
    call = calls.Call("r", "a", "late", "c", 1e9, True, 0, 1, "GET", "/", (), b"")
    outcome = limited.route(call)
    assert isinstance(outcome, calls.NotRun)
    assert outcome.reason is calls.NotRunReason.OVERLOADED
    assert 1 < len(nested) <= THREADS // 2
