"""Statements through the proxy: sessions, transactions, refusals."""

import socket
import struct

import trio

from geraniumridge._internal.proxy import daemon
from geraniumridge._internal.utils import clock
from lib import proxies
from lib.proxies import is_success
from lib.proxies import run_world


@run_world
async def test_a_write_is_read_back(world, proxy):
    caller = await world.connect(proxy)
    written = await caller.query("WRITE item data")
    assert is_success(written) and written[-1] != "COMPLETE -"
    rows = await caller.query("READ item")
    assert rows[0] == "ROW data"


@run_world
async def test_ids_and_texts_arrive_unchanged_under_the_team(world, proxy):
    caller = await world.connect(proxy)
    await caller.send("QUERY my-own-id WRITE item some more words")
    while not (await caller.read_line()).startswith("READY"):
        pass
    primary = world.group.instances["i-0"]
    assert primary.ran[-1][:2] == ("my-own-id", "team")
    assert primary.data["item"] == "some more words"


@run_world
async def test_session_values_and_prepared_names_follow_the_session(
    world, proxy
):
    """Two sessions share a connection without seeing each other's state."""
    first = await world.connect(proxy)
    second = await world.connect(proxy)
    await first.query("SET zone one")
    await first.query("PREPARE s1 WRITE q1")
    await second.query("PREPARE s1 READ q2")
    assert is_success(await first.query("EXECUTE s1 item data"))
    assert (await second.query("EXECUTE s1 item"))[0] == "ROW data"
    assert is_success(await first.query("EXECUTE s1 item more"))
    ran = world.group.instances["i-0"].ran
    assert [values for _, _, values, _ in ran] == [
        {"zone": "one"},
        {},
        {"zone": "one"},
    ]
    assert world.group.instances["i-0"].connections == 1


@run_world
async def test_deallocated_prepared_statement_is_unknown(world, proxy):
    caller = await world.connect(proxy)
    await caller.query("PREPARE s1 READ q1")
    await caller.query("DEALLOC s1")
    assert (await caller.query("EXECUTE s1 x"))[0].startswith("ERROR NOSTMT")


@run_world
async def test_a_transaction_commits_as_a_whole(world, proxy):
    caller = await world.connect(proxy)
    assert (await caller.query_all("BEGIN"))[-1] == "READY T -"
    await caller.query("WRITE a 1")
    await caller.query("WRITE b 2")
    assert not world.group.instances["i-0"].data
    lines = await caller.query_all("COMMIT")
    assert is_success(lines[:-1]) and lines[-1] == "READY I -"
    assert world.group.instances["i-0"].data == {"a": "1", "b": "2"}


@run_world
async def test_disconnect_rolls_back_the_transaction(world, proxy):
    caller = await world.connect(proxy)
    await caller.query("BEGIN")
    await caller.query("WRITE a 1")
    await caller.close()
    other = await world.connect(proxy)
    assert (await other.query("READ a"))[0] == "ROW none"


@run_world
async def test_idle_transaction_is_rolled_back(world, proxy):
    caller = await world.connect(proxy)
    await caller.query("BEGIN")
    await caller.query("WRITE a 1")
    await trio.sleep(0.7)
    lines = await caller.query_all("READ a")
    assert lines[0].startswith("ERROR MALFORMED")
    assert lines[-1] == "READY E -"
    assert (await caller.query_all("ROLLBACK"))[-1] == "READY I -"
    assert (await caller.query("READ a"))[0] == "ROW none"


@run_world
async def test_a_session_sees_its_own_commit_on_a_lagging_replica(
    world, proxy
):
    for item in world.group.instances.values():
        item.lag_s = 0.3
    caller = await world.connect(proxy, "plans")
    for number in range(10):
        await caller.query(f"WRITE item {number}")
        assert (await caller.query("READ item"))[0] == f"ROW {number}"


@run_world
async def test_replicas_serve_bounded_reads(world, proxy):
    writer = await world.connect(proxy)
    await writer.query("WRITE item 1")
    reader = await world.connect(proxy, "stock")
    for _ in range(10):
        assert (await reader.query("READ item"))[0] == "ROW 1"
    replicas = [world.group.instances[name] for name in ("i-1", "i-2")]
    assert sum(len(item.ran) for item in replicas) > 0


@run_world
async def test_write_is_in_doubt_after_a_lost_answer(world, proxy):
    caller = await world.connect(proxy)
    await caller.query("READ x")
    world.group.instances["i-0"].lose_answers = 1
    assert (await caller.query("WRITE a 1"))[0].startswith("ERROR INDOUBT")
    assert (await caller.query("READ a"))[0] == "ROW 1"


@run_world
async def test_read_is_retried_after_a_lost_answer(world, proxy):
    caller = await world.connect(proxy)
    await caller.query("WRITE a 1")
    world.group.instances["i-0"].lose_answers = 1
    assert (await caller.query("READ a"))[0] == "ROW 1"


@run_world
async def test_write_succeeds_after_an_idle_connection_broke(world, proxy):
    caller = await world.connect(proxy)
    await caller.query("WRITE a 1")
    for session in list(world.group.instances["i-0"].sessions):
        session.cancel()
    await trio.sleep(0.05)
    assert is_success(await caller.query("WRITE a 2"))


@run_world
async def test_unknown_keys_and_databases_are_refused(world, proxy):
    caller = proxies.Caller(proxy.settings.listen.callers)
    await caller.open()
    assert (await caller.start("orders", "bad")).startswith("ERROR NOAUTH")
    assert await caller.read_line() is None
    await caller.open()
    assert (await caller.start("nowhere", "key")).startswith("ERROR NODB")
    assert await caller.read_line() is None


@run_world
async def test_revoked_key_is_refused_in_open_sessions(world, proxy):
    caller = await world.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    config = proxies.make_config(2, tenants=[])
    world.store.put("op/config", config)
    await trio.sleep(0.1)
    assert (await caller.query("READ a"))[0].startswith("ERROR NOAUTH")


@run_world
async def test_vm_cut_off_from_the_store_closes_its_connections(world, proxy):
    """A VM without a current store view refuses all statements, and other
    VMs can use the few connections that a target allows.
    """
    caller = await world.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    targets = list(world.group.instances.values())
    assert sum(item.connections for item in targets) > 0
    proxy.store.is_cut = True
    with trio.fail_after(
        proxy.node.max_key_age_s + 2 * daemon.CLEANUP_INTERVAL_S
    ):
        while sum(item.connections for item in targets):
            await trio.sleep(0.1)


@run_world
async def test_keys_are_refused_once_the_store_view_is_too_old(world, proxy):
    caller = await world.connect(proxy)
    world.store.refusal = "silent"
    bound_s = proxy.node.max_key_age_s
    with trio.move_on_after(bound_s + 1.5):
        while is_success(await caller.query("READ a")):
            age_s = proxy.node.view_age.get_age(clock.now())
            assert age_s <= bound_s + 0.2
            await trio.sleep(0.1)
    assert (await caller.query("READ a"))[0].startswith("ERROR BUSY")


@run_world
async def test_a_team_above_its_rate_is_refused_and_others_are_not(
    world, proxy
):
    tenants = [
        {"name": "slow", "apiKeys": ["s"], "ratePerS": 5, "burst": 5},
        {"name": "team", "apiKeys": ["key"], "ratePerS": 900, "burst": 900},
    ]
    world.store.put("op/config", proxies.make_config(2, tenants=tenants))
    await trio.sleep(2)
    slow = await world.connect(proxy, key="s")
    other = await world.connect(proxy)
    answers = [(await slow.query("READ x"))[-1] for _ in range(30)]
    served = [line for line in answers if line.startswith("COMPLETE")]
    assert 1 <= len(served) <= 7
    assert any("rate limit" in line for line in answers)
    assert is_success(await other.query("READ x"))


@run_world
async def test_malformed_lines_affect_only_their_session(world, proxy):
    caller = await world.connect(proxy)
    other = await world.connect(proxy)
    for text in ("NONSENSE", "BEGIN TWICE", "WRITE item", "PREPARE x", "SET"):
        assert (await caller.query(text))[0].startswith("ERROR MALFORMED")
    await caller.send("x" * 2_000_000)
    assert (await caller.read_line()).startswith("ERROR TOOBIG")
    assert is_success(await other.query("READ x"))


@run_world
async def test_statement_waits_for_a_target_at_its_connection_limit(
    world, proxy
):
    """A refused connection means that the statement did not run, so it is
    tried again until a connection is free.
    """
    primary = world.group.instances["i-0"]
    primary.max_connections = 0
    caller = await world.connect(proxy)

    async def raise_connection_limit():
        await trio.sleep(0.02)
        primary.max_connections = 20

    world.nursery.start_soon(raise_connection_limit)
    assert is_success(await caller.query("WRITE a 1"))


@run_world
async def test_statements_of_the_proxy_itself_do_not_change_the_rows(
    world, proxy
):
    caller = await world.connect(proxy, "stock")
    await caller.query("SET a 1")
    assert (await caller.query_all("BEGIN READ"))[-1] == "READY T -"
    assert (await caller.query("READ x"))[0] == "ROW none"
    assert is_success(await caller.query("COMMIT"))


@run_world
async def test_warmup_limit_of_a_target_is_kept(world, proxy):
    services = [
        {
            "name": "ledger",
            "maxConns": 20,
            "syncReplicas": 1,
            "warmupPerS": 5,
        }
    ]
    world.store.put("op/config", proxies.make_config(2, services=services))
    for item in world.group.instances.values():
        entry = {**world.group.make_entry(item), "warmupLeftMs": 9000}
        world.store.put(f"servers/{item.name}", entry)
    await trio.sleep(0.3)
    caller = await world.connect(proxy)
    began_at = trio.current_time()
    while trio.current_time() - began_at < 1.0:
        await caller.query("READ a")
    assert 3 <= len(world.group.instances["i-0"].ran) <= 8


def test_connection_reset_by_a_caller_is_not_logged_as_a_failure(caplog):
    async def main():
        async with proxies.open_world() as world:
            caller = await world.connect(await world.add_proxy())
            caller.stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            await caller.close()
            await trio.sleep(0.1)

    trio.run(main)
    assert "session failed" not in caplog.text
