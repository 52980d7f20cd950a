"""What one incarnation of a gate knows of each request id.

An id that was asked after before its call arrived is barred: the call, should
it still arrive, is refused. So a router may place the request elsewhere.
"""

import collections
import dataclasses
import threading
import typing

from savoryhollow.wire import messages

__all__ = ["OutcomeRegister"]

# How long a bar or a finished answer outlives its deadline, in s.
KEEP_S = 10.0
# How long a bar is held for an id that was never seen, in s.
BAR_S = 60.0
# Records held at one time.
MAX_RECORDS = 20_000
# Bytes of finished answers held at one time.
MAX_ANSWER_BYTES = 4 << 20

GateAnswer: typing.TypeAlias = (
    messages.ServedMessage | messages.NotRunMessage | messages.UnknownMessage
)


@dataclasses.dataclass(slots=True)
class _Record:
    state: messages.ResolutionState
    forget_at: float
    answer: messages.ServedMessage | None = None


class OutcomeRegister:
    """Remembers request ids within a bounded memory.

    A full register begins no further request: a record is never dropped
    before its time, as its bar would go with it.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._records_by_id: collections.OrderedDict[str, _Record] = (
            collections.OrderedDict()
        )
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records_by_id)

    def begin(self, request_id: str, deadline: float, now: float) -> bool:
        """Note that a request has arrived.

        :param request_id: the id of the request.
        :param deadline: the instant after which its answer is of no use.
        :param now: the present instant.
        :returns: whether it may go on; False where the id is known already or
            barred, or where the register is full.
        """
        with self._lock:
            self._forget_old(now)
            if request_id in self._records_by_id:
                return False
            if len(self._records_by_id) >= MAX_RECORDS:
                return False
            state = messages.ResolutionState.RUNNING
            self._records_by_id[request_id] = _Record(state, deadline + KEEP_S)
            return True

    def finish(self, request_id: str, answer: GateAnswer, now: float) -> None:
        """Note the answer of a request that began here.

        :param request_id: the id of the request.
        :param answer: its answer.
        :param now: the present instant.
        """
        with self._lock:
            record = self._records_by_id.get(request_id)
            if record is None:
                return
            record.forget_at = max(record.forget_at, now + KEEP_S)
            if isinstance(answer, messages.NotRunMessage):
                record.state = messages.ResolutionState.BARRED
            elif isinstance(answer, messages.UnknownMessage):
                record.state = messages.ResolutionState.FORGOTTEN
            else:
                self._keep_answer(record, answer)

    def resolve(self, request_id: str, now: float) -> messages.ResolutionMessage:
        """Say what became of a request; one never seen is barred from now on.

        :param request_id: the id of the request.
        :param now: the present instant.
        :returns: the state and, for a finished request, its answer.
        """
        with self._lock:
            self._forget_old(now)
            record = self._records_by_id.get(request_id)
            if record is None:
                record = self._bar(request_id, now)
            return messages.ResolutionMessage(request_id, record.state, record.answer)

    def _bar(self, request_id: str, now: float) -> _Record:
        if len(self._records_by_id) >= MAX_RECORDS:
            return _Record(messages.ResolutionState.FORGOTTEN, now)
        record = _Record(messages.ResolutionState.BARRED, now + BAR_S)
        self._records_by_id[request_id] = record
        return record

    def _keep_answer(self, record: _Record, answer: messages.ServedMessage) -> None:
        if self._answer_bytes + len(answer.body) > MAX_ANSWER_BYTES:
            record.state = messages.ResolutionState.FORGOTTEN
            return
        record.state = messages.ResolutionState.FINISHED
        record.answer = answer
        self._answer_bytes += len(answer.body)

    def _forget_old(self, now: float) -> None:
        while self._records_by_id:
            request_id = next(iter(self._records_by_id))
            record = self._records_by_id[request_id]
            if record.forget_at > now:
                return
            del self._records_by_id[request_id]
            if record.answer is not None:
                self._answer_bytes -= len(record.answer.body)
