"""Call a service from a Python program without a local HTTP hop through a daemon.

Run it as ``python examples/embed_router.py STORE_HOST STORE_PORT SERVICE RANK``.
"""

import sys
import time

from savoryhollow import calls, library
from savoryhollow.settings import models

# Timeouts for the first configuration and instance list and for the call, in s.
READY_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 1.0


def main(host: str, port: str, service: str, rank: str) -> int:
    """Make one call and print its outcome.

    :param host: the host of the store.
    :param port: the port of the store.
    :returns: the exit status: 0 if the request was served, else 1.
    """
    settings = library.RouterSettings(
        name="example",
        region="east",
        zone="east-a",
        store=models.Target(host, int(port)),
    )
    with library.EmbeddedRouter(settings) as router:
        if not router.await_ready(time.monotonic() + READY_TIMEOUT_S):
            print(
                "no configuration or no instance list received yet;"
                " check the store address and try again",
                file=sys.stderr,
            )
            return 1
        deadline = time.monotonic() + CALL_TIMEOUT_S
        outcome = router.call(library.Request(service, rank, deadline, path="/work"))
    if isinstance(outcome, calls.Served):
        print(f"served by {outcome.endpoint_id}, status {outcome.status}")
        return 0
    print(outcome)
    return 1


if __name__ == "__main__":
    sys.exit(main(*sys.argv[1:]))
