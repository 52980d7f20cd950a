"""Tests of the gate and the router on an event loop, with fakes for sockets."""

import asyncio
import dataclasses

from savoryhollow import calls, errors
from savoryhollow.http1 import messages as http
from savoryhollow.membership import directory, table
from savoryhollow.proxy import backend_responses, options
from savoryhollow.proxy import gate as gate_module
from savoryhollow.proxy import router as router_module
from savoryhollow.routing import nearby, placement
from savoryhollow.wire import messages

RULES = options.RetryRules(ratio=0.2, slack=100.0, window_s=10.0)
OK = http.Response(200, (), b"ok")
INCOMPLETE = backend_responses.BackendResult(detail="cut short")


def run_with_timeout(main):
    async def limited():
        async with asyncio.timeout(20):
            return await main()

    return asyncio.run(limited())


def clock():
    return asyncio.get_running_loop().time()


class Runner:
    """A fake backend server that records the calls that reach it.

    Each call runs until ``release`` is set, and returns ``result``.
    """

    def __init__(self, result=None):
        self.result = backend_responses.BackendResult(OK) if result is None else result
        self.load = None
        self.load_received_at = float("-inf")
        self.started = []
        self.ended = []
        self.release = asyncio.Event()

    async def refresh_load(self, max_age_s):
        return

    async def run(self, call, deadline):
        self.started.append(call)
        try:
            await self.release.wait()
        finally:
            self.ended.append(call)
        return self.result


def make_gate(runner, slots=1, resolve_endpoint_id=lambda service: None):
    gate = gate_module.Gate(runner, clock, resolve_endpoint_id)
    gate.queue.resize(slots, 0)
    return gate


def message(name="r1", **changed):
    numbers = {
        "remaining_us": 5_000_000,
        "idempotent": True,
        "depth": 0,
        "attempts_left": 2,
        "objective_us": 1_000_000,
    }
    texts = dict.fromkeys(("service", "rank", "caller", "method", "path"), "x")
    fields = {"request_id": name, "headers": (), "body": b""} | texts | numbers
    return messages.CallMessage(**(fields | changed))


async def run_ready_tasks():
    for _ in range(10):
        await asyncio.sleep(0)


# ---------------------------------------------------------------------------
#   The gate
# ---------------------------------------------------------------------------


def test_a_cancelled_request_that_waits_never_reaches_the_backend_server():
    async def main():
        runner = Runner()
        gate = make_gate(runner)
        first = asyncio.create_task(gate.serve(message("r1")))
        second = asyncio.create_task(gate.serve(message("r2")))
        await run_ready_tasks()
        second.cancel()
        await run_ready_tasks()
        runner.release.set()
        assert isinstance(await first, messages.ServedMessage)
        assert [call.request_id for call in runner.started] == ["r1"]
        assert gate.queue.busy == 0 and not gate.queue.waiting

    run_with_timeout(main)


def test_cancelling_a_request_that_runs_ends_it_and_frees_its_slot():
    async def main():
        runner = Runner()
        gate = make_gate(runner)
        task = asyncio.create_task(gate.serve(message()))
        await run_ready_tasks()
        task.cancel()
        await run_ready_tasks()
        assert len(runner.ended) == 1
        assert gate.queue.busy == 0

    run_with_timeout(main)


def test_a_leaving_gate_refuses_queued_requests_and_finishes_running_ones():
    async def main():
        runner = Runner()
        gate = make_gate(runner)
        running_now = asyncio.create_task(gate.serve(message("r1")))
        waiting = asyncio.create_task(gate.serve(message("r2")))
        await run_ready_tasks()
        gate.leave()
        refused = await waiting
        assert refused.reason is calls.NotRunReason.LEAVING
        runner.release.set()
        assert isinstance(await running_now, messages.ServedMessage)
        assert len(runner.started) == 1

    run_with_timeout(main)


def test_an_incomplete_answer_is_unknown_and_a_rejection_is_not_run():
    async def main():
        for result, cls in (
            (INCOMPLETE, messages.UnknownMessage),
            (
                backend_responses.BackendResult(reason=calls.NotRunReason.REJECTED),
                messages.NotRunMessage,
            ),
        ):
            runner = Runner(result)
            runner.release.set()
            assert isinstance(await make_gate(runner).serve(message()), cls)

    run_with_timeout(main)


def test_a_request_runs_under_the_current_id_of_the_endpoint():
    async def main():
        runner = Runner()
        runner.release.set()
        gate = make_gate(runner, resolve_endpoint_id=lambda service: "new")
        await gate.serve(message(expected_endpoint="old"))
        assert runner.started[0].expected_endpoint == "new"

    run_with_timeout(main)


def test_an_impatient_request_is_bounced_where_a_slow_instance_would_make_it_late():
    """Otherwise, with all others full, it would start there and run 12 times longer."""

    async def main():
        gate = make_gate(Runner())
        gate.queue.pace = 12.0
        refused = await gate.serve(message(patient=False))
        assert refused.reason is calls.NotRunReason.NOT_NOW

    run_with_timeout(main)


def test_an_impatient_request_is_bounced_in_a_slow_spell():
    async def main():
        runner = Runner()
        gate = make_gate(runner)
        gate.queue.busy += 1
        gate.queue.release("x", 0.4)
        gate.queue.record_pace(1.0, clock())
        gate.queue.record_pace(4.0, clock())
        refused = await gate.serve(message(patient=False))
        assert refused.reason is calls.NotRunReason.NOT_NOW
        assert refused.load.spell_us > 0
        assert runner.started == []

    run_with_timeout(main)


# ---------------------------------------------------------------------------
#   The router
# ---------------------------------------------------------------------------


class Link:
    """A fake link that returns the given answers in turn, the last one repeatedly."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.failing = False
        self.has_open_requests = False

    async def call(self, sent):
        self.calls.append(sent)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if isinstance(answer, Exception):
            raise answer
        return dataclasses.replace(answer, request_id=sent.request_id)


LOAD = messages.LoadReport(0, 0, 7, 100_000, False)
FULL = dataclasses.replace(LOAD, busy=7, queued=1)
IN_SPELL = dataclasses.replace(LOAD, spell_us=150_000)
SERVED = messages.ServedMessage("", 200, (), b"ok", LOAD)
FAILED = messages.ServedMessage("", 500, (), b"no", LOAD)
LOST = errors.ChannelClosedError("the link was lost; check the peer")
UNREACHABLE = errors.PeerUnreachableError("no link; check the peer")


def make_refusal(reason, load=LOAD):
    return messages.NotRunMessage("", reason, 80, load)


def make_router(*links, region="east"):
    members = directory.Directory()
    for number, _ in enumerate(links):
        host = f"10.0.0.{number}"
        state = table.EndpointState.LIVE
        members.put(
            directory.KnownEndpoint(
                f"e{number}", "dispatch", region, f"{region}-a", host, 7, state, 9
            )
        )
    location = placement.Location("", "east", "east-a")

    class FirstById(nearby.LocalityPolicy):
        """Chooses the endpoint with the lowest cost, the first one of several."""

        def _best(self, pool, requirements):
            if not pool:
                return None

            def key(candidate):
                cost_s = nearby.expected_cost_s(candidate, requirements.now)
                return round(cost_s, 2), candidate.endpoint.endpoint_id

            return nearby.Decision(min(pool, key=key), 0.0, 0.0, len(pool))

    router = router_module.Router(
        location,
        "10.9.9.9",
        members,
        make_gate(Runner()),
        FirstById(location, None),
        RULES,
        lambda endpoint_id, host, port: links[int(endpoint_id[1:])],
        clock,
    )
    # The budget grants its full slack only one window after the start.
    router._started_at -= RULES.window_s
    return router


def call(idempotent=True, wait_s=5.0):
    now = clock()
    return calls.Call(
        "r1",
        "dispatch",
        "lookup",
        "",
        now + wait_s,
        idempotent,
        0,
        2,
        "GET",
        "/",
        (),
        b"",
        1,
        now + 0.6,
    )


def route_call(*links, idempotent=True, max_attempts=2):
    async def main():
        return await make_router(*links).route(call(idempotent), max_attempts)

    return run_with_timeout(main)


def test_a_request_that_may_have_run_is_never_retried_unless_idempotent():
    first, second = Link(LOST), Link(SERVED)
    outcome = route_call(first, second, idempotent=False)
    assert isinstance(outcome, calls.Unknown)
    assert second.calls == []


def test_an_idempotent_request_is_retried_after_a_lost_answer():
    first, second = Link(LOST), Link(SERVED)
    assert isinstance(route_call(first, second), calls.Served)
    assert len(first.calls) == len(second.calls) == 1


def test_no_request_is_sent_to_more_endpoints_than_its_route_allows():
    links = [Link(LOST), Link(LOST), Link(SERVED)]
    assert isinstance(route_call(*links, max_attempts=2), calls.Unknown)
    assert links[2].calls == []


def test_a_call_refused_by_a_gate_goes_to_the_next_and_costs_no_attempt():
    refusal = make_refusal(calls.NotRunReason.DEADLINE)
    links = [Link(refusal), Link(refusal), Link(SERVED)]
    outcome = route_call(*links, idempotent=False, max_attempts=1)
    assert isinstance(outcome, calls.Served)


def test_a_rejection_by_the_backend_server_counts_as_an_attempt():
    rejection = make_refusal(calls.NotRunReason.REJECTED)
    first, second = Link(rejection), Link(SERVED)
    outcome = route_call(first, second, idempotent=False, max_attempts=1)
    assert isinstance(outcome, calls.NotRun)
    assert second.calls == []


def test_not_run_is_returned_only_if_no_attempt_can_have_run():
    rejection = make_refusal(calls.NotRunReason.REJECTED)
    assert isinstance(route_call(Link(LOST), Link(rejection)), calls.Unknown)
    assert isinstance(route_call(Link(rejection), Link(UNREACHABLE)), calls.NotRun)


def test_a_failure_response_is_returned_unless_a_retry_succeeds():
    outcome = route_call(Link(FAILED), Link(SERVED))
    assert outcome.status == 200
    outcome = route_call(Link(FAILED), Link(LOST))
    assert outcome.status == 500
    assert route_call(Link(FAILED), Link(SERVED), idempotent=False).status == 500


def test_a_request_that_would_wait_is_bounced_where_its_router_may_try_others():
    async def main():
        runner = Runner()
        gate = make_gate(runner)
        first = asyncio.create_task(gate.serve(message("r1")))
        await run_ready_tasks()
        refused = await gate.serve(message("r2", patient=False))
        assert refused.reason is calls.NotRunReason.NOT_NOW
        runner.release.set()
        await first
        assert isinstance(
            await gate.serve(message("r3", patient=False)), messages.ServedMessage
        )

    run_with_timeout(main)


def test_a_request_waits_at_the_first_gate_of_another_region():
    async def main():
        link = Link(SERVED)
        await make_router(link, region="west").route(call(), 2)
        return link.calls[0].patient

    assert run_with_timeout(main)


def test_without_endpoints_a_request_is_refused_at_once():
    outcome = route_call()
    assert outcome.reason is calls.NotRunReason.NO_ENDPOINT
    assert outcome.retry_after_ms > 0


def test_retries_stop_when_the_budget_is_spent():
    async def main():
        router = make_router(Link(LOST), Link(SERVED))
        router.add_services(["dispatch"])
        budget = router.budgets_by_service["dispatch"]
        while budget.take_retry(clock(), 2):
            pass
        return await router.route(call(), 2)

    assert isinstance(run_with_timeout(main), calls.Unknown)
