import contextlib
import dataclasses
import socket

import pytest

from emulator import deployment, plans

PLAN = dataclasses.replace(
    plans.COULEE,
    regions=("east",),
    services=(plans.ServicePlan("dispatch", 1, 5.0),),
    store_region="east",
)


@contextlib.contextmanager
def listening(host):
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, deployment.BACKEND_PORT))
        sock.listen()
        yield


def test_a_subnet_where_something_still_listens_is_not_taken():
    held, subnet = deployment._reserve_subnet(1, 1)
    held.close()
    with listening(f"127.{subnet}.0.1"):
        held, other = deployment._reserve_subnet(1, 1)
        held.close()
    assert other != subnet


def test_a_deployment_that_does_not_come_up_leaves_no_process():
    broken = deployment.Deployment(PLAN)
    with listening(broken.instances_by_id["dispatch-0"].host):
        with pytest.raises(deployment.DeploymentError, match="backend-dispatch-0"):
            broken.__enter__()
    running = [p for p in broken.processes_by_name.values() if p.poll() is None]
    assert not running
