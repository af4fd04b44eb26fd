"""Client of the store, against a stand-in that is restored."""

import pytest
import trio

from geraniumridge._internal import exceptions
from geraniumridge._internal.models import revisions
from geraniumridge._internal.ports import store as store_port
from geraniumridge_platform import kv
from lib import proxies
from standins import kvstore

KEY = "geraniumridge/key"
WRITE = store_port.Write(KEY, b"1")


def run_with_store(test):
    """Run a test with a store that tells its era, and a client."""

    async def main():
        async with trio.open_nursery() as nursery:
            store = kvstore.KvStore()
            store.era = 1
            address = proxies.find_address()
            await store.start(nursery, address)
            await test(store, kv.KvClient(address))
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_revisions_rise_over_a_restore():
    async def test(store, client):
        backup = store.make_backup()
        before = await client.commit({}, [WRITE])
        await store.restore(backup)
        after = await client.commit({}, [WRITE])
        assert store.revision == revisions.get_number(before)
        assert after > before
        listing = await client.list("")
        assert listing.revision == listing.items[0].revision == after

    run_with_store(test)


@pytest.mark.parametrize("changes_after", [0, 5])
def test_changes_do_not_continue_over_a_restore(changes_after):
    """Guards against missing changes whose numbers were given out again."""

    async def test(store, client):
        store.put("op/config", {})
        revision = (await client.list("")).revision
        backup = store.make_backup()
        await store.restore(backup)
        for number in range(changes_after):
            store.put("op/config", {"number": number})
        for read in (
            client.read_changes("", revision),
            client.watch("", revision, 0.1),
        ):
            with pytest.raises(exceptions.HistoryLostError):
                await read

    run_with_store(test)


def test_condition_of_a_former_era_is_not_sent():
    async def test(store, client):
        revision = await client.commit({}, [WRITE])
        await store.restore(store.make_backup())
        await client.list("")
        with pytest.raises(exceptions.ConflictError):
            await client.commit({KEY: revision}, [WRITE])
        assert revisions.get_number(revision) == store.items[KEY]["rev"]

    run_with_store(test)


def test_condition_that_a_restored_store_meets_by_chance_is_no_success():
    """Guards against acting on a write that another era has accepted."""

    async def test(store, client):
        revision = await client.commit({}, [WRITE])
        await store.restore(store.make_backup())
        with pytest.raises(exceptions.ConflictError):
            await client.commit({KEY: revision}, [WRITE])

    run_with_store(test)


@pytest.mark.parametrize("era", ["-1", "x", str(revisions.MAX_ERA + 1)])
def test_era_that_is_no_number_in_its_bounds_is_an_error(era):
    async def test(store, client):
        store.era = era
        with pytest.raises(exceptions.PlatformUnavailableError):
            await client.list("")

    run_with_store(test)
