"""The header names and paths used by callers and backend servers on this platform."""

from savoryhollow.proxy import dialect

__all__ = ["DIALECT"]

DIALECT = dialect.Dialect(
    request_id="X-Attempt-Id",
    deadline_ms="X-Deadline-Ms",
    signature="X-Response-Signature",
    expected_endpoint="X-Expect-Instance",
    endpoint_id="X-Instance-Id",
    load="X-Instance-Load",
    not_executed="X-Not-Executed",
    caller_service="X-Caller-Service",
    readiness_path="/api/ready",
)
