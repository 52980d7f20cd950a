"""Call a service from a Python program, with no HTTP hop into a daemon.

Run it as ``python examples/embed_router.py STORE_HOST STORE_PORT SERVICE RANK``.
"""

import sys
import time

from savoryhollow import calls, library
from savoryhollow.settings import models

# Limit for the first configuration and for one call, in s.
READY_TIMEOUT_S = 10.0
CALL_TIMEOUT_S = 1.0


def main(host: str, port: str, service: str, rank: str) -> int:
    """Make one call and say what became of it.

    :returns: the exit status: 0 where it was served.
    """
    settings = library.RouterSettings(
        name="example",
        region="east",
        zone="east-a",
        store=models.Target(host, int(port)),
    )
    with library.EmbeddedRouter(settings) as router:
        if not router.await_ready(time.monotonic() + READY_TIMEOUT_S):
            print("the platform published nothing yet; try again", file=sys.stderr)
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
