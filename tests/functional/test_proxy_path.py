"""Statements through the proxy: sessions, transactions, refusals."""

import math
import socket
import struct

import trio

from geraniumridge._internal.decisions import connection_share
from geraniumridge._internal.decisions import rates
from geraniumridge._internal.decisions import token_bucket
from geraniumridge._internal.proxy import daemon
from geraniumridge._internal.proxy import pool
from geraniumridge._internal.utils import clock
from lib import proxies
from lib.proxies import is_success
from lib.proxies import run_in_cluster


@run_in_cluster
async def test_a_write_is_read_back(cluster, proxy):
    caller = await cluster.connect(proxy)
    written = await caller.query("WRITE item data")
    assert is_success(written) and written[-1] != "COMPLETE -"
    rows = await caller.query("READ item")
    assert rows[0] == "ROW data"


@run_in_cluster
async def test_ids_and_texts_arrive_unchanged_under_the_team(cluster, proxy):
    caller = await cluster.connect(proxy)
    await caller.send("QUERY my-own-id WRITE item some more words")
    while not (await caller.read_line()).startswith("READY"):
        pass
    primary = cluster.group.instances["i-0"]
    assert primary.executed[-1][:2] == ("my-own-id", "team")
    assert primary.data["item"] == "some more words"


@run_in_cluster
async def test_session_values_and_prepared_names_follow_the_session(
    cluster, proxy
):
    """Two sessions share a connection without seeing each other's state."""
    first = await cluster.connect(proxy)
    second = await cluster.connect(proxy)
    await first.query("SET zone one")
    await first.query("PREPARE s1 WRITE q1")
    await second.query("PREPARE s1 READ q2")
    assert is_success(await first.query("EXECUTE s1 item data"))
    assert (await second.query("EXECUTE s1 item"))[0] == "ROW data"
    assert is_success(await first.query("EXECUTE s1 item more"))
    executed = cluster.group.instances["i-0"].executed
    assert [values for _, _, values, _ in executed] == [
        {"zone": "one"},
        {},
        {"zone": "one"},
    ]
    assert cluster.group.instances["i-0"].connections == 1


@run_in_cluster
async def test_deallocated_prepared_statement_is_unknown(cluster, proxy):
    caller = await cluster.connect(proxy)
    await caller.query("PREPARE s1 READ q1")
    await caller.query("DEALLOC s1")
    assert (await caller.query("EXECUTE s1 x"))[0].startswith("ERROR NOSTMT")


@run_in_cluster
async def test_a_transaction_commits_as_a_whole(cluster, proxy):
    caller = await cluster.connect(proxy)
    assert (await caller.query_all("BEGIN"))[-1] == "READY T -"
    await caller.query("WRITE a 1")
    await caller.query("WRITE b 2")
    assert not cluster.group.instances["i-0"].data
    lines = await caller.query_all("COMMIT")
    assert is_success(lines[:-1]) and lines[-1] == "READY I -"
    assert cluster.group.instances["i-0"].data == {"a": "1", "b": "2"}


@run_in_cluster
async def test_disconnect_rolls_back_the_transaction(cluster, proxy):
    caller = await cluster.connect(proxy)
    await caller.query("BEGIN")
    await caller.query("WRITE a 1")
    await caller.close()
    other = await cluster.connect(proxy)
    assert (await other.query("READ a"))[0] == "ROW none"


@run_in_cluster
async def test_idle_transaction_is_rolled_back(cluster, proxy):
    caller = await cluster.connect(proxy)
    await caller.query("BEGIN")
    await caller.query("WRITE a 1")
    # Longer than `txIdleMs` of the configuration, 500 ms. Until the caller
    # ends the transaction, its statements are refused as MALFORMED.
    await trio.sleep(0.7)
    lines = await caller.query_all("READ a")
    assert lines[0].startswith("ERROR MALFORMED")
    assert lines[-1] == "READY E -"
    assert (await caller.query_all("ROLLBACK"))[-1] == "READY I -"
    assert (await caller.query("READ a"))[0] == "ROW none"


@run_in_cluster
async def test_a_session_sees_its_own_commit_on_a_lagging_replica(
    cluster, proxy
):
    for item in cluster.group.instances.values():
        item.lag_s = 0.3
    caller = await cluster.connect(proxy, "plans")
    for number in range(10):
        await caller.query(f"WRITE item {number}")
        assert (await caller.query("READ item"))[0] == f"ROW {number}"


@run_in_cluster
async def test_replicas_serve_bounded_reads(cluster, proxy):
    writer = await cluster.connect(proxy)
    await writer.query("WRITE item 1")
    reader = await cluster.connect(proxy, "stock")
    for _ in range(10):
        assert (await reader.query("READ item"))[0] == "ROW 1"
    replicas = [cluster.group.instances[name] for name in ("i-1", "i-2")]
    assert sum(len(item.executed) for item in replicas) > 0


@run_in_cluster
async def test_write_is_in_doubt_after_a_lost_answer(cluster, proxy):
    caller = await cluster.connect(proxy)
    await caller.query("READ x")
    cluster.group.instances["i-0"].lose_answers = 1
    assert (await caller.query("WRITE a 1"))[0].startswith("ERROR INDOUBT")
    assert (await caller.query("READ a"))[0] == "ROW 1"


@run_in_cluster
async def test_read_is_retried_after_a_lost_answer(cluster, proxy):
    caller = await cluster.connect(proxy)
    await caller.query("WRITE a 1")
    cluster.group.instances["i-0"].lose_answers = 1
    assert (await caller.query("READ a"))[0] == "ROW 1"


@run_in_cluster
async def test_write_succeeds_after_an_idle_connection_broke(cluster, proxy):
    caller = await cluster.connect(proxy)
    await caller.query("WRITE a 1")
    for scope in list(cluster.group.instances["i-0"].connection_scopes):
        scope.cancel()
    await trio.sleep(0.05)
    assert is_success(await caller.query("WRITE a 2"))


@run_in_cluster
async def test_unknown_keys_and_databases_are_refused(cluster, proxy):
    caller = proxies.Caller(proxy.settings.listen.callers)
    await caller.open()
    assert (await caller.start_session("orders", "bad")).startswith(
        "ERROR NOAUTH"
    )
    assert await caller.read_line() is None
    await caller.open()
    assert (await caller.start_session("nowhere", "key")).startswith(
        "ERROR NODB"
    )
    assert await caller.read_line() is None


@run_in_cluster
async def test_withdrawn_key_is_refused_in_open_sessions(cluster, proxy):
    caller = await cluster.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    config = proxies.make_config(2, tenants=[])
    cluster.store.put("op/config", config)
    await trio.sleep(0.1)
    assert (await caller.query("READ a"))[0].startswith("ERROR NOAUTH")


def make_tenants(holder):
    """Return two teams, one of which, or neither, holds the key."""
    return [
        {
            "name": name,
            "apiKeys": [f"{name}-key"] + (["key"] if name == holder else []),
            "ratePerS": 900,
            "burst": 900,
        }
        for name in ("team", "other")
    ]


async def begin_and_move_key(cluster, proxy, holder):
    """Return a caller whose key changes hands after its first write."""
    caller = await cluster.connect(proxy)
    await caller.query("BEGIN")
    assert is_success(await caller.query("WRITE a 1"))
    config = proxies.make_config(2, tenants=make_tenants(holder))
    cluster.store.put("op/config", config)
    await trio.sleep(0.1)
    return caller


@run_in_cluster
async def test_transaction_ends_when_its_key_moves_to_another_team(
    cluster, proxy
):
    """Guards against statements that run as the key's former team."""
    for text in ("READ a", "WRITE a 2", "COMMIT"):
        cluster.store.put("op/config", proxies.make_config(1))
        await trio.sleep(0.1)
        caller = await begin_and_move_key(cluster, proxy, "other")
        executed = cluster.group.instances["i-0"].executed
        executed_before = len(executed)
        assert (await caller.query(text))[0].startswith("ERROR ABORTED")
        assert len(executed) == executed_before
        assert "a" not in cluster.group.instances["i-0"].data


@run_in_cluster
async def test_commit_is_refused_once_its_key_is_withdrawn(cluster, proxy):
    """Guards against a COMMIT that is let through where a WRITE is not."""
    caller = await begin_and_move_key(cluster, proxy, None)
    lines = await caller.query_all("COMMIT")
    assert lines[0].startswith("ERROR NOAUTH")
    assert lines[-1] == "READY I -"
    assert "a" not in cluster.group.instances["i-0"].data


@run_in_cluster
async def test_statement_that_waits_is_not_sent_once_its_key_is_withdrawn(
    cluster, proxy
):
    """Guards against a key check that a wait for a connection outdates."""
    caller = await cluster.connect(proxy)
    primary = cluster.group.instances["i-0"]
    primary.connect_time_s = 0.2
    cluster.nursery.start_soon(caller.query, "WRITE a 1")
    await trio.sleep(0.1)
    config = proxies.make_config(2, tenants=make_tenants("other"))
    cluster.store.put("op/config", config)
    await trio.sleep(0.5)
    assert "a" not in primary.data


@run_in_cluster
async def test_vm_cut_off_from_the_store_closes_its_connections(
    cluster, proxy
):
    """A VM without a current store view refuses all statements, and other
    VMs can use the few connections that a target allows.
    """
    caller = await cluster.connect(proxy)
    assert is_success(await caller.query("WRITE a 1"))
    targets = list(cluster.group.instances.values())
    assert sum(item.connections for item in targets) > 0
    proxy.store_client.is_partitioned = True
    with trio.fail_after(
        proxy.node.max_key_age_s + 2 * daemon.CLEANUP_INTERVAL_S
    ):
        while sum(item.connections for item in targets):
            await trio.sleep(0.1)


@run_in_cluster
async def test_keys_are_refused_once_the_store_view_is_too_old(cluster, proxy):
    caller = await cluster.connect(proxy)
    cluster.store.fault = "silent"
    bound_s = proxy.node.max_key_age_s
    with trio.move_on_after(bound_s + 1.5):
        while is_success(await caller.query("READ a")):
            age_s = proxy.node.view_age.get_age(clock.now())
            assert age_s <= bound_s + 0.2
            await trio.sleep(0.1)
    assert (await caller.query("READ a"))[0].startswith("ERROR BUSY")


@run_in_cluster
async def test_a_team_above_its_rate_is_refused_and_others_are_not(
    cluster, proxy
):
    tenants = [
        {"name": "slow", "apiKeys": ["s"], "ratePerS": 5, "burst": 5},
        {"name": "team", "apiKeys": ["key"], "ratePerS": 900, "burst": 900},
    ]
    cluster.store.put("op/config", proxies.make_config(2, tenants=tenants))
    await trio.sleep(2)
    slow = await cluster.connect(proxy, key="s")
    other = await cluster.connect(proxy)
    began_at = trio.current_time()
    answers = [(await slow.query("READ x"))[-1] for _ in range(30)]
    took_s = trio.current_time() - began_at
    served = [line for line in answers if line.startswith("COMPLETE")]
    reserve = rates.make_reserve(
        token_bucket.Allowance(5, 5),
        proxy.settings.bounds.limit_slack,
        len(proxies.DOMAINS),
    )
    assert 1 <= len(served) <= (5 * took_s + 5) * 1.1 + reserve.burst
    assert sum("rate limit" in line for line in answers) >= 10
    assert is_success(await other.query("READ x"))


@run_in_cluster
async def test_malformed_lines_affect_only_their_session(cluster, proxy):
    caller = await cluster.connect(proxy)
    other = await cluster.connect(proxy)
    for text in ("NONSENSE", "BEGIN TWICE", "WRITE item", "PREPARE x", "SET"):
        assert (await caller.query(text))[0].startswith("ERROR MALFORMED")
    await caller.send("x" * 2_000_000)
    assert (await caller.read_line()).startswith("ERROR TOOBIG")
    assert is_success(await other.query("READ x"))


@run_in_cluster
async def test_statement_waits_for_a_target_at_its_connection_limit(
    cluster, proxy
):
    """A refused connection means that the statement did not run, so it is
    tried again until a connection is free.
    """
    primary = cluster.group.instances["i-0"]
    primary.max_connections = 0
    caller = await cluster.connect(proxy)

    async def raise_connection_limit():
        await trio.sleep(0.02)
        primary.max_connections = 20

    cluster.nursery.start_soon(raise_connection_limit)
    assert is_success(await caller.query("WRITE a 1"))


def test_idle_connections_of_other_vms_leave_room_for_a_statement():
    """A target allows fewer connections than there are VMs.

    The connections that some VMs keep open between statements used to
    fill it up, and the statements of the others were refused.
    """

    async def main():
        async with proxies.open_cluster() as cluster:
            services = [{"name": "ledger", "maxConns": 3, "syncReplicas": 1}]
            config = proxies.make_config(2, services=services)
            cluster.store.put("op/config", config)
            for item in cluster.group.instances.values():
                item.max_connections = 3
            members = [await cluster.add_proxy(f"vm-{n}") for n in range(5)]
            callers = [await cluster.connect(proxy) for proxy in members]
            for _ in range(2):
                for caller in callers:
                    assert is_success(await caller.query("WRITE a 1"))

    trio.run(main)


@run_in_cluster
async def test_statement_does_not_wait_for_connections_to_a_silent_target(
    cluster, proxy
):
    """It was held until its time limit before it was refused."""
    services = [{"name": "ledger", "maxConns": 1, "syncReplicas": 1}]
    config = proxies.make_config(2, services=services)
    cluster.store.put("op/config", config)
    await proxies.wait_until(lambda: proxy.node.view.state.version == 2)
    callers = [await cluster.connect(proxy) for _ in range(3)]
    cluster.group.instances["i-0"].is_silent = True
    # The VM may open its share and one more, and these two wait in vain.
    for caller in callers[:2]:
        cluster.nursery.start_soon(caller.query, "WRITE a 1")
    await trio.sleep(0.05)
    with trio.fail_after(pool.SILENT_TARGET_S + 0.3):
        lines = await callers[2].query("WRITE a 2")
    assert lines[0].startswith("ERROR BUSY")


def test_connections_beyond_the_share_are_closed_when_vms_join():
    """The VM that was alone keeps no more open than its new share."""

    async def main():
        async with proxies.open_cluster() as cluster:
            first = await cluster.add_proxy("vm-0")
            callers = [await cluster.connect(first) for _ in range(6)]
            async with trio.open_nursery() as nursery:
                for caller in callers:
                    nursery.start_soon(caller.query, "WRITE a 1")
            primary = cluster.group.instances["i-0"]
            assert primary.connections == len(callers)
            for number in range(1, 6):
                await cluster.add_proxy(f"vm-{number}")
            kept_open = (
                connection_share.KEEP_OPEN_SHARE * primary.max_connections
            )
            share = math.ceil(kept_open / 6)
            await proxies.wait_until(lambda: primary.connections <= share)

    trio.run(main)


@run_in_cluster
async def test_statements_of_the_proxy_itself_do_not_change_the_rows(
    cluster, proxy
):
    """Answers to the proxy's own statements do not reach the caller.

    Before the READ it sends SET, to restore the session's value on the
    connection, and BEGIN READ, which opens the transaction there.
    """
    caller = await cluster.connect(proxy, "stock")
    await caller.query("SET a 1")
    assert (await caller.query_all("BEGIN READ"))[-1] == "READY T -"
    assert (await caller.query("READ x"))[0] == "ROW none"
    assert is_success(await caller.query("COMMIT"))


@run_in_cluster
async def test_warmup_limit_of_a_target_is_kept(cluster, proxy):
    services = [
        {
            "name": "ledger",
            "maxConns": 20,
            "syncReplicas": 1,
            "warmupPerS": 5,
        }
    ]
    cluster.store.put("op/config", proxies.make_config(2, services=services))
    for item in cluster.group.instances.values():
        entry = {**cluster.group.make_entry(item), "warmupLeftMs": 9000}
        cluster.store.put(f"servers/{item.name}", entry)
    await trio.sleep(0.3)
    caller = await cluster.connect(proxy)
    started_at = trio.current_time()
    while trio.current_time() - started_at < 1.0:
        await caller.query("READ a")
    assert 3 <= len(cluster.group.instances["i-0"].executed) <= 8


def test_connection_reset_by_a_caller_is_not_logged_as_a_failure(caplog):
    async def main():
        async with proxies.open_cluster() as cluster:
            caller = await cluster.connect(await cluster.add_proxy())
            caller.stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
            )
            await caller.close()
            await trio.sleep(0.1)

    trio.run(main)
    assert "session failed" not in caplog.text
