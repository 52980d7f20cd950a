"""Tests of the gate: admission, cancellation, shedding, draining."""

import threading
import time

import pytest

from savoryhollow import calls, errors
from savoryhollow.admission import gate as gate_module
from savoryhollow.admission import queueing, rank_queues
from savoryhollow.backend import client
from savoryhollow.recovery import register
from savoryhollow.wire import messages

RULES = {
    "urgent": rank_queues.RankRule(order=0, floor=0.3, worth=10),
    "late": rank_queues.RankRule(order=1, floor=0.1, worth=1),
}
# Timeout of each wait, long enough for a busy machine, in s.
LIMIT_S = 20.0


class FakeBackend:
    """A backend server whose requests run until ``go`` is set."""

    def __init__(self):
        self.go = threading.Event()
        self.ran = []

    def run(self, call, deadline):
        self.ran.append(call.request_id)
        assert self.go.wait(LIMIT_S)
        return client.BackendAnswer(200, (), call.request_id.encode())


@pytest.fixture
def backend():
    fake = FakeBackend()
    yield fake
    fake.go.set()


@pytest.fixture
def gate(backend):
    queue = queueing.AdmissionQueue(1, 2, RULES)
    return gate_module.Gate(queue, register.OutcomeRegister(), backend.run)


class ServeThread(threading.Thread):
    """A thread that runs one call through the gate."""

    def __init__(self, gate, request_id, rank="urgent", remaining_s=LIMIT_S):
        super().__init__(daemon=True)
        self.gate = gate
        self.call = make_call(request_id, rank, remaining_s)
        self.answer = None
        self.start()

    def run(self):
        self.answer = self.gate.serve(self.call)

    def wait_for_answer(self):
        self.join(LIMIT_S)
        return self.answer


def make_call(request_id, rank, remaining_s=LIMIT_S):
    remaining_us = int(remaining_s * 1e6)
    return messages.CallMessage(
        request_id, "s", rank, "a", remaining_us, True, 0, 1, "GET", "/", (), b""
    )


def wait_until(condition):
    deadline = time.monotonic() + LIMIT_S
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.001)


def hold_slot(gate, backend):
    holder = ServeThread(gate, "holder")
    wait_until(lambda: backend.ran == ["holder"])
    return holder


def test_a_waiting_request_is_served_once_the_slot_is_free(gate, backend):
    holder = hold_slot(gate, backend)
    waiting = ServeThread(gate, "waiting")
    wait_until(lambda: gate.report().queued == 1)
    backend.go.set()
    assert holder.wait_for_answer().body == b"holder"
    assert waiting.wait_for_answer().body == b"waiting"
    assert gate.report().busy == 0


def test_a_cancelled_request_that_waits_is_not_run(gate, backend):
    hold_slot(gate, backend)
    waiting = ServeThread(gate, "waiting")
    wait_until(lambda: gate.report().queued == 1)
    connection = register.Connection("a", 1, lambda: None)
    gate.answer_control_message(messages.CancelMessage("waiting"), connection)
    # The outcome is known at once, even if the waiting thread has not woken yet.
    asked = messages.ResolveMessage("waiting", calls.Origin("a", 1, 1))
    resolution = gate.resolve(asked, connection)
    assert resolution.state is messages.ResolutionState.BARRED
    assert waiting.wait_for_answer().reason is calls.NotRunReason.CANCELLED
    backend.go.set()
    assert backend.ran == ["holder"]


def test_a_request_that_runs_is_not_cancelled(gate, backend):
    holder = hold_slot(gate, backend)
    gate.cancel("holder")
    backend.go.set()
    assert holder.wait_for_answer().body == b"holder"


def test_an_urgent_request_displaces_one_of_lower_worth(gate, backend):
    hold_slot(gate, backend)
    late = []
    for number in range(2):
        late.append(ServeThread(gate, f"late-{number}", "late"))
        wait_until(lambda: gate.report().queued == len(late))
    urgent = ServeThread(gate, "urgent")
    wait_until(lambda: any(thread.answer for thread in late))
    shed = next(thread for thread in late if thread.answer)
    assert shed.answer.reason is calls.NotRunReason.OVERLOADED
    backend.go.set()
    assert urgent.wait_for_answer().body == b"urgent"
    assert shed.call.request_id not in backend.ran


def test_a_request_is_refused_while_its_caller_has_time_left(backend):
    queue = queueing.AdmissionQueue(50, 2, RULES)
    for number in range(51):
        holder = rank_queues.Entry(f"holder-{number}", "urgent", "a", 1e12)
        queue.offer(holder, 0.0)
        assert queue.take(0.0) is holder
        if number == 0:
            # This sample raises the expected service time to about 15 s.
            queue.release(holder, 50.0, 0.0)
    gate = gate_module.Gate(queue, register.OutcomeRegister(), backend.run)
    started = time.monotonic()
    answer = gate.serve(make_call("refused", "urgent", remaining_s=15.5))
    assert answer.reason is calls.NotRunReason.DEADLINE
    assert time.monotonic() < started + 15.0
    assert backend.ran == []


def test_a_failure_of_the_backend_server_releases_the_slot(gate, backend):
    def fail(call, deadline):
        raise errors.BackendError("gone; start it", started=False)

    gate._run_backend = fail
    answer = gate.serve(make_call("first", "urgent"))
    assert answer.reason is calls.NotRunReason.UNREACHABLE
    assert gate.report().busy == 0


def test_a_leaving_gate_serves_waiting_requests_and_refuses_new_ones(gate, backend):
    holder = hold_slot(gate, backend)
    waiting = ServeThread(gate, "waiting")
    wait_until(lambda: gate.report().queued == 1)
    drained = []
    drain = threading.Thread(
        target=lambda: drained.append(gate.drain(time.monotonic() + LIMIT_S))
    )
    drain.start()
    wait_until(lambda: gate.leaving)
    refused = gate.serve(make_call("new", "urgent"))
    assert refused.reason is calls.NotRunReason.LEAVING
    backend.go.set()
    assert holder.wait_for_answer().body == b"holder"
    assert waiting.wait_for_answer().body == b"waiting"
    drain.join(LIMIT_S)
    assert drained == [True]


def test_what_waits_at_the_gate_of_a_backend_server_that_left_is_refused(gate, backend):
    """It used to be run, however long ago the list had dropped its backend server."""
    holder = hold_slot(gate, backend)
    waiting = ServeThread(gate, "waiting")
    wait_until(lambda: gate.report().queued == 1)
    gate.follow_list(has_left=True)
    assert waiting.wait_for_answer().reason is calls.NotRunReason.LEAVING
    refused = gate.serve(make_call("new", "urgent"))
    assert refused.reason is calls.NotRunReason.LEAVING
    backend.go.set()
    assert holder.wait_for_answer().body == b"holder"
    assert backend.ran == ["holder"]
    gate.follow_list(has_left=False)
    assert gate.serve(make_call("next", "urgent")).body == b"next"


def test_what_waits_is_refused_also_while_the_process_stops(gate, backend):
    """It was run however long ago the list had dropped its backend server."""
    holder = hold_slot(gate, backend)
    waiting = ServeThread(gate, "waiting")
    wait_until(lambda: gate.report().queued == 1)
    gate.leave()
    gate.follow_list(has_left=True)
    backend.go.set()
    assert waiting.wait_for_answer().reason is calls.NotRunReason.LEAVING
    assert holder.wait_for_answer().body == b"holder"
    assert backend.ran == ["holder"]


def test_what_has_a_slot_but_is_not_sent_yet_is_refused(gate, backend, monkeypatch):
    """Its thread may continue long after the backend server has left."""
    acquire = gate._acquire

    def acquire_and_lose(entry):
        acquire(entry)
        gate.follow_list(has_left=True)

    monkeypatch.setattr(gate, "_acquire", acquire_and_lose)
    backend.go.set()
    refused = gate.serve(make_call("granted", "urgent"))
    assert refused.reason is calls.NotRunReason.LEAVING
    assert backend.ran == []
    assert gate.report().busy == 0


def test_a_gate_that_stops_is_not_opened_by_a_list(gate):
    gate.leave()
    gate.follow_list(has_left=False)
    refused = gate.serve(make_call("new", "urgent"))
    assert refused.reason is calls.NotRunReason.LEAVING


def test_additional_slots_admit_waiting_requests(gate, backend):
    hold_slot(gate, backend)
    waiting = ServeThread(gate, "waiting")
    wait_until(lambda: gate.report().queued == 1)
    gate.resize(2)
    wait_until(lambda: "waiting" in backend.ran)
    backend.go.set()
    assert waiting.wait_for_answer().body == b"waiting"


def test_the_report_counts_the_requests_queued_before_each_order(gate, backend):
    hold_slot(gate, backend)
    for number, rank in enumerate(("late", "urgent")):
        ServeThread(gate, rank, rank)
        wait_until(lambda count=number + 1: gate.report().queued == count)
    report = gate.report()
    assert (report.queued_before(0), report.queued_before(1)) == (1, 2)
    assert report.queued_before(7) == report.queued == 2
