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


def test_a_subnet_with_a_listening_socket_is_not_reserved():
    lock_socket, subnet = deployment._reserve_subnet(1, 1)
    lock_socket.close()
    with listening(f"127.{subnet}.0.1"):
        lock_socket, other_subnet = deployment._reserve_subnet(1, 1)
        lock_socket.close()
    assert other_subnet != subnet


def test_a_deployment_that_fails_to_start_leaves_no_process():
    failing = deployment.Deployment(PLAN)
    with listening(failing.instances_by_id["dispatch-0"].host):
        with pytest.raises(deployment.DeploymentError, match="backend-dispatch-0"):
            failing.__enter__()
    running = [p for p in failing.processes_by_name.values() if p.poll() is None]
    assert not running
