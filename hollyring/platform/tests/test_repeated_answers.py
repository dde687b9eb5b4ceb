"""Tests of servers that repeat an earlier answer."""

import pytest

from hollyring.platform.tests import conftest, test_relay


class RepeatingServer(conftest.ServerStandIn):
    """Server that refuses every other request, and repeats each refusal ahead of the next answer.

    `names` selects whether its refusals name their request; `interim` whether an interim answer
    comes before each. `runs` are the ids of requests that it ran.
    """

    def __init__(self, names=False, interim=False):
        super().__init__("i-0")
        self.names = names
        self.interim = interim
        self.runs = []
        self.refusals = {}
        self.count = 0

    async def handle(self, request, writer):
        name = request.headers["x-request-id"]
        self.count += 1
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n" if self.interim else b""
        if self.count % 2:
            named = {"x_request_id": name} if self.names else {}
            refusal = self.encode_response(503, b"", x_not_run=1, **named)
            self.refusals[writer] = refusal
            writer.write(interim + refusal)
            return
        self.runs.append(name)
        writer.write(interim + self.refusals.get(writer, b""))
        writer.write(self.encode_sealed_response(request, 200, b"done"))


@pytest.mark.anyio
@pytest.mark.parametrize("names", [False, True])
@pytest.mark.parametrize("interim", [False, True])
async def test_repeated_refusal_never_says_not_run_of_a_request_that_runs(names, interim):
    server = RepeatingServer(names, interim)
    async with server.running():
        vm = test_relay.RelayVm([server], attempts=1)
        callers = [(f"r-{number}", await vm.send_request(f"r-{number}")) for number in range(8)]
    refused = {name for name, caller in callers if caller.status in (408, 421, 429, 503)}
    assert refused & set(server.runs) == set()
    assert len(server.runs) == len(set(server.runs)) > 0


class NamelessServer(conftest.ServerStandIn):
    """Server whose answers name no request at all."""

    def encode_sealed_response(self, request, status, body):
        return self.encode_response(status, body, x_response_seal=conftest.SEAL)


@pytest.mark.anyio
@pytest.mark.parametrize("behaviour", ["complete", "refuse", "error"])
async def test_server_that_names_no_request_is_used_on_a_new_connection_for_each(behaviour):
    server = NamelessServer("i-0", behaviour)
    async with server.running():
        vm = test_relay.RelayVm([server])
        for number in range(4):
            caller = await vm.send_request(f"r-{number}")
            assert caller.status == {"complete": 200, "refuse": 503, "error": 500}[behaviour]
            assert vm.pool.open_connections(server.address) == 0
