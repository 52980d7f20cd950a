"""Tests of the outcome register.

A request that ran or may still run must never be reported as not run, even if calls
arrive late, connections close, or records expire and are evicted.
"""

import collections

import hypothesis
import pytest
from hypothesis import stateful, strategies

from savoryhollow import calls
from savoryhollow.recovery import register
from savoryhollow.wire import messages

LOAD = messages.LoadReport(0, 0, 1, 0, False)
BARRED = messages.ResolutionState.BARRED
FORGOTTEN = messages.ResolutionState.FORGOTTEN
SESSIONS = ("a", "b")


def served(request_id, body=b"body"):
    return messages.ServedMessage(request_id, 200, (), body, LOAD)


def not_run(request_id):
    reason = calls.NotRunReason.DEADLINE
    return messages.NotRunMessage(request_id, reason, 0, LOAD)


def resolve_message(request_id, connection, number):
    origin = calls.Origin(connection.session, connection.number, number)
    return messages.ResolveMessage(request_id, origin)


class SimulatedConnection:
    """One connection and the calls that were sent on it but haven't arrived."""

    def __init__(self, connection):
        self.connection = connection
        self.in_transit = collections.deque()
        self.sent = 0


class RegisterMachine(stateful.RuleBasedStateMachine):
    """Routers send calls, resolve requests and close connections in any order.

    Calls arrive after any delay, but in order on each connection.
    """

    def __init__(self):
        super().__init__()
        self.outcomes = register.OutcomeRegister()
        self.now = 0.0
        self.connections = []
        self.origins_by_id = {}
        self.running = set()
        self.ran = set()
        self.barred = set()

    @stateful.initialize()
    def open_one_connection_per_session(self):
        for session in SESSIONS:
            self.open(session)

    @stateful.rule(session=strategies.sampled_from(SESSIONS))
    def open(self, session):
        number = len(self.connections) + 1
        self.connections.append(
            SimulatedConnection(self.outcomes.open(session, number, lambda: None))
        )

    @stateful.rule(data=strategies.data())
    def send(self, data):
        simulated = data.draw(strategies.sampled_from(self.connections))
        simulated.sent += 1
        request_id = f"r{len(self.origins_by_id)}"
        self.origins_by_id[request_id] = (simulated, simulated.sent)
        simulated.in_transit.append(request_id)

    @stateful.rule(data=strategies.data())
    def deliver_next(self, data):
        simulated = data.draw(strategies.sampled_from(self.connections))
        if simulated.in_transit:
            request_id = simulated.in_transit.popleft()
            self.deliver(request_id, simulated.connection)

    def deliver(self, request_id, connection):
        result = self.outcomes.begin(request_id, connection, self.now + 1)
        if result is register.BeginResult.ACCEPTED:
            assert request_id not in self.barred
            assert request_id not in self.ran
            self.ran.add(request_id)
            self.running.add(request_id)

    @stateful.precondition(lambda self: self.running)
    @stateful.rule(data=strategies.data(), runs=strategies.booleans())
    def finish(self, data, runs):
        request_id = data.draw(strategies.sampled_from(sorted(self.running)))
        self.running.discard(request_id)
        if not runs:
            self.ran.discard(request_id)
            self.barred.add(request_id)
        answer = served(request_id) if runs else not_run(request_id)
        self.outcomes.finish(request_id, answer, self.now)

    @stateful.precondition(lambda self: self.origins_by_id)
    @stateful.rule(data=strategies.data())
    def resolve(self, data):
        request_id = data.draw(strategies.sampled_from(sorted(self.origins_by_id)))
        simulated, number = self.origins_by_id[request_id]
        asking_on = data.draw(strategies.sampled_from(self.connections))
        if asking_on is simulated:
            # A resolve message arrives after the calls sent on its connection.
            while simulated.in_transit:
                self.deliver(simulated.in_transit.popleft(), simulated.connection)
        message = resolve_message(request_id, simulated.connection, number)
        resolution = self.outcomes.resolve(message, asking_on.connection, self.now)
        if resolution.state is BARRED:
            assert request_id not in self.ran
            self.barred.add(request_id)
        if resolution.state is messages.ResolutionState.FINISHED:
            assert resolution.answer.request_id == request_id

    @stateful.rule(data=strategies.data())
    def close(self, data):
        self.outcomes.close(
            data.draw(strategies.sampled_from(self.connections)).connection
        )

    @stateful.rule(seconds=strategies.sampled_from((0.1, 5.0, 1000.0)))
    def advance(self, seconds):
        self.now += seconds

    @stateful.invariant()
    def memory_is_bounded(self):
        assert len(self.outcomes) <= register.MAX_RECORDS


@pytest.mark.parametrize("bound", [2, 1000])
def test_a_request_is_reported_as_not_run_only_if_proved(monkeypatch, bound):
    monkeypatch.setattr(register, "MAX_RECORDS", bound)
    monkeypatch.setattr(register, "MAX_CLOSED_CONNECTIONS", bound)
    settings = hypothesis.settings(max_examples=150, stateful_step_count=30)
    stateful.run_state_machine_as_test(RegisterMachine, settings=settings)


def test_a_call_that_arrives_after_it_was_barred_is_refused():
    outcomes = register.OutcomeRegister()
    closed = []
    old = outcomes.open("a", 1, lambda: closed.append(1))
    new = outcomes.open("a", 2, lambda: closed.append(2))
    resolution = outcomes.resolve(resolve_message("r", old, 1), new, 0.0)
    assert resolution.state is BARRED
    assert closed == [1]
    result = outcomes.begin("r", old, 1e9)
    assert result is register.BeginResult.BARRED


def test_a_forgotten_request_is_never_reported_as_not_run():
    outcomes = register.OutcomeRegister()
    old = outcomes.open("a", 1, lambda: None)
    new = outcomes.open("a", 2, lambda: None)
    outcomes.begin("r", old, 1.0)
    outcomes.finish("r", served("r"), 0.5)
    resolution = outcomes.resolve(resolve_message("r", old, 1), new, 1e6)
    assert resolution.state is FORGOTTEN


def test_a_request_of_an_unknown_connection_is_reported_as_forgotten():
    outcomes = register.OutcomeRegister()
    new = outcomes.open("a", 2, lambda: None)
    origin = calls.Origin("a", 1, 1)
    resolution = outcomes.resolve(messages.ResolveMessage("r", origin), new, 0.0)
    assert resolution.state is FORGOTTEN


def test_a_full_register_evicts_finished_requests_but_no_running_ones(
    monkeypatch,
):
    monkeypatch.setattr(register, "MAX_RECORDS", 2)
    outcomes = register.OutcomeRegister()
    connection = outcomes.open("a", 1, lambda: None)
    outcomes.begin("first", connection, 1.0)
    outcomes.begin("second", connection, 1.0)
    result = outcomes.begin("third", connection, 1.0)
    assert result is register.BeginResult.FULL
    outcomes.finish("first", served("first"), 0.0)
    result = outcomes.begin("fourth", connection, 1.0)
    assert result is register.BeginResult.ACCEPTED
    for number, request_id in ((1, "first"), (3, "third")):
        message = resolve_message(request_id, connection, number)
        assert outcomes.resolve(message, connection, 0.0).state is FORGOTTEN


def test_the_stored_answers_are_limited_in_bytes(monkeypatch):
    monkeypatch.setattr(register, "MAX_ANSWER_BYTES", 10)
    outcomes = register.OutcomeRegister()
    connection = outcomes.open("a", 1, lambda: None)
    for number, size in enumerate((6, 6, 11), start=1):
        request_id = f"r{number}"
        outcomes.begin(request_id, connection, 1.0)
        outcomes.finish(request_id, served(request_id, b"x" * size), 0.0)
    states = [
        outcomes.resolve(resolve_message(f"r{n}", connection, n), connection, 0.0).state
        for n in (1, 2, 3)
    ]
    assert states == [FORGOTTEN, FORGOTTEN, FORGOTTEN]
