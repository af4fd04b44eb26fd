"""Errors of background tasks."""

import trio

from geraniumridge._internal.utils import supervision


def test_task_that_fails_runs_again_and_others_go_on():
    async def main():
        runs = []

        async def fail_twice():
            runs.append("failing")
            if len(runs) < 3:
                raise KeyError("unexpected")
            await trio.sleep_forever()

        async with trio.open_nursery() as nursery:
            supervisor = supervision.Supervisor(nursery)
            supervisor.keep_running(fail_twice)
            with trio.fail_after(5):
                while len(runs) < 3:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_task_that_runs_once_may_fail_in_a_nursery_of_its_own():
    async def main():
        async def fail(text):
            async with trio.open_nursery() as inner:
                inner.start_soon(trio.sleep, 0)
                raise RuntimeError(text)

        async with trio.open_nursery() as nursery:
            supervision.Supervisor(nursery).start_soon(fail, "unexpected")

    trio.run(main)


def test_cancellation_ends_tasks():
    async def main():
        with trio.fail_after(1):
            async with trio.open_nursery() as nursery:
                supervisor = supervision.Supervisor(nursery)
                supervisor.keep_running(trio.sleep_forever)
                await trio.sleep(0)
                nursery.cancel_scope.cancel()

    trio.run(main)
