"""Usage reports over HTTP."""

import msgspec
import pytest
import trio

from geraniumridge._internal.decisions.usage import reports
from geraniumridge._internal import exceptions
from geraniumridge._internal.network import http
from geraniumridge_platform import duties_client
from lib import proxies

REPORT = reports.UsageReport(353445120, {"bode960": 412, "vocu161": 412})


async def send_report(handler):
    """Send a report to a server with a handler; return its requests."""
    requests = []
    failure = None

    async def handle(request):
        requests.append(request)
        return await handler()

    async with trio.open_nursery() as nursery:
        address = proxies.find_address()
        await http.serve(nursery, address, handle)
        call = await duties_client.UsageClient(address).connect()
        try:
            await call.send(REPORT, "vm-1", 77)
        except exceptions.GeraniumridgeError as error:
            failure = error
        await call.close()
        nursery.cancel_scope.cancel()
    # Raised within the nursery, it would be in an exception group.
    if failure is not None:
        raise failure
    return requests


async def answer(status):
    return http.Response(status, b"{}")


def test_report_has_the_form_of_the_platform():
    (request,) = trio.run(send_report, lambda: answer(200))
    assert request.path == "/usage"
    assert msgspec.json.decode(request.body) == {
        "window": 353445120,
        "counts": {"bode960": 412, "vocu161": 412},
    }
    assert request.headers["x-geraniumridge-lease-holder"] == "vm-1"
    assert request.headers["x-geraniumridge-fencing-token"] == "77"


@pytest.mark.parametrize("status", [429, 400, 409, 500, 503])
def test_answer_other_than_success_is_a_refusal(status):
    with pytest.raises(exceptions.TargetRefusedError) as caught:
        trio.run(send_report, lambda: answer(status))
    assert str(status) in str(caught.value)


def test_call_without_an_answer_ends_in_time():
    with pytest.raises(exceptions.PlatformUnavailableError):
        trio.run(send_report, trio.sleep_forever)


def test_closed_call_is_reset():
    """Guards against a kernel that delivers the report much later."""

    async def main():
        (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listener.socket.getsockname()[1]
        client = duties_client.UsageClient(f"127.0.0.1:{port}")
        call = await client.connect()
        stream = await listener.accept()
        await call.close()
        with pytest.raises(trio.BrokenResourceError):
            await stream.receive_some(1)

    trio.run(main)
