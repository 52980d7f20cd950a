"""Tests of a backend server's address that changes while a request is in progress."""

import asyncio
import contextlib

from savoryhollow.http1 import backends
from savoryhollow.platform import headers
from savoryhollow.proxy import backend_runner


async def serve_instance(name, may_answer):
    """Start a backend server that tells its id once it may answer."""

    async def serve(reader, writer):
        with contextlib.closing(writer):
            while await reader.readline():
                await reader.readuntil(b"\r\n\r\n")
                await may_answer.wait()
                head = f"HTTP/1.1 200 OK\r\nX-Instance-Id: {name}\r\nContent-Length: 0"
                writer.write(head.encode() + b"\r\n\r\n")

    return await asyncio.start_server(serve, "127.0.0.1", 0)


def test_a_late_answer_of_the_former_backend_server_is_not_taken_for_the_new_one():
    """Requests would be sent to the former server, under its id."""

    async def main():
        may_answer = asyncio.Event()
        former = await serve_instance("former", may_answer)
        new = await serve_instance("new", may_answer)
        pool = backends.Pool(*former.sockets[0].getsockname())
        runner = backend_runner.BackendRunner(headers.DIALECT, pool)
        probe = asyncio.create_task(runner.probe())
        while not pool.opened_count:
            await asyncio.sleep(0)
        runner.change_address(*new.sockets[0].getsockname())
        may_answer.set()
        await probe
        assert runner.endpoint_id is None
        await runner.probe()
        assert runner.endpoint_id == "new"
        former.close()
        new.close()

    async def main_with_timeout():
        async with asyncio.timeout(10):
            await main()

    asyncio.run(main_with_timeout())
