"""Handlers of datagrams take any message that can be decoded."""

import time
import types

from hypothesis import given
from hypothesis import strategies as st
import msgspec
import trio

from geraniumridge._internal.decisions import load_reports
from geraniumridge._internal.decisions import position_history
from geraniumridge._internal.decisions import quorum
from geraniumridge._internal.decisions import succession
from geraniumridge._internal.decisions import view
from geraniumridge._internal.decisions import view_age
from geraniumridge._internal.models import desired
from geraniumridge._internal.models import fleet
from geraniumridge._internal.models import proxy_settings
from geraniumridge._internal.models import records
from geraniumridge._internal.network import datagrams
from geraniumridge._internal.ports import store
from geraniumridge._internal.proxy import acknowledgement_exchange
from geraniumridge._internal.proxy import lease_relay
from geraniumridge._internal.proxy import limits
from geraniumridge._internal.proxy import load_exchange
from geraniumridge._internal.proxy import pool
from geraniumridge._internal.proxy import position_exchange
from geraniumridge._internal.proxy import quorum_exchange
from geraniumridge._internal.proxy import suspicion_exchange
from geraniumridge._internal.proxy.usage import collection
from geraniumridge._internal.proxy import view_exchange
from geraniumridge._internal.utils import clock
from geraniumridge._internal.utils import metrics
from lib import fleets

messages = datagrams.messages

MAX_I32 = 2**31 - 1
LARGE_LIMIT = 1e10
"""Tokens per second and burst of a team that is not limited in effect."""

SENDER = ("127.0.0.1", 9)

numbers = st.integers(-(2**63), 2**63 - 1)
counts = st.integers(-(2**31), MAX_I32)
names = st.one_of(st.just("team"), st.text(max_size=20))
windows = st.one_of(
    st.integers(-2, 2).map(lambda item: int(time.time() / 5.0) + item),
    numbers,
)
packed = st.one_of(
    st.binary(max_size=50),
    st.sampled_from(
        [
            {},
            [],
            {"team": 5},
            {"team": -1},
            {"team": 2**60},
            {"unknown": 5},
            [["vm-1", "boot"]],
            [["vm-1", "boot", 3, {"team": [5, 100]}]],
            [["vm-1", "boot", 3, {"unknown": [5, -100]}]],
        ]
    ).map(msgspec.msgpack.encode),
)
any_occupancies = st.lists(
    st.builds(
        messages.TargetOccupancy,
        target=st.one_of(st.none(), st.just("i-1"), names),
        calls=st.one_of(st.none(), counts),
        age_ms=st.one_of(st.none(), counts),
    ),
    max_size=5,
)
any_message = st.one_of(
    st.builds(
        messages.TokenRequest,
        number=numbers,
        team=names,
        wanted=counts,
        domain=names,
    ),
    st.builds(
        messages.StandbyRequest, number=numbers, team=names, wanted=counts
    ),
    st.builds(
        messages.FallbackRenewalRequest,
        number=numbers,
        team=names,
        domain=names,
        rate=counts,
        is_in_use=st.booleans(),
    ),
    st.builds(
        messages.FallbackGrant,
        number=numbers,
        is_owner=st.booleans(),
        rate=counts,
    ),
    st.builds(
        messages.TokenGrant,
        number=numbers,
        is_owner=st.booleans(),
        tokens=counts,
        retry_ms=counts,
        pledge=counts,
    ),
    st.builds(messages.ConfirmationRequest, number=numbers, revision=numbers),
    st.builds(
        messages.ConfirmationAnswer,
        number=numbers,
        vm=names,
        groups=st.lists(names, max_size=20),
        is_whole=st.booleans(),
    ),
    st.builds(
        messages.ChangesQuery,
        number=numbers,
        revision=numbers,
        last_revision=st.one_of(st.just(0), numbers),
        offset=st.one_of(st.just(0), counts),
        occupancies=any_occupancies,
    ),
    st.builds(
        messages.ChangesAnswer,
        number=numbers,
        revision=numbers,
        age_ms=numbers,
        total=counts,
        data=st.binary(max_size=50),
        occupancies=any_occupancies,
    ),
    st.builds(messages.ChangeNotification, vm=names),
    st.builds(
        messages.FailoverAcknowledgement,
        number=numbers,
        vm=names,
        group=names,
        revision=numbers,
    ),
    st.builds(messages.AcknowledgementReceipt, number=numbers),
    st.builds(messages.PositionQuery, number=numbers, group=names),
    st.builds(
        messages.PositionAnswer,
        number=numbers,
        term=numbers,
        position=numbers,
        age_ms=numbers,
    ),
    st.builds(messages.PositionNotice, vm=names, group=names),
    st.builds(messages.PrimarySuspicion, group=names, target=names),
    st.builds(
        messages.LeaseRenewalRequest, number=numbers, vm=names, lease=numbers
    ),
    st.builds(
        messages.LeaseRenewalAnswer,
        number=numbers,
        is_renewed=st.booleans(),
        is_lost=st.booleans(),
    ),
    st.builds(messages.HandoverRequest, number=numbers, team=names, vm=names),
    st.builds(
        messages.HandoverAnswer, number=numbers, is_stopped=st.booleans()
    ),
    st.builds(messages.TimeQuery, number=numbers),
    st.builds(messages.TimeAnswer, number=numbers, time_us=numbers),
    st.builds(
        messages.UsageCounts,
        number=numbers,
        vm=names,
        boot=names,
        window=windows,
        sequence=numbers,
        part=st.one_of(st.just(0), counts),
        parts=st.one_of(st.just(1), counts),
        covered_ms=st.one_of(st.just(7), numbers),
        is_final=st.booleans(),
        counts=packed,
    ),
    st.builds(
        messages.UsageSums,
        number=numbers,
        vm=names,
        boot=names,
        window=windows,
        sequence=numbers,
        part=st.one_of(st.just(0), counts),
        parts=st.one_of(st.just(1), counts),
        teams=packed,
        final_runs=packed,
        open_runs=packed,
    ),
    st.builds(messages.UsageReceipt, number=numbers, excluded=packed),
)


class EncodingPeers(datagrams.Peers):
    """Datagram endpoint that encodes what it sends, and records it."""

    def __init__(self):
        super().__init__("127.0.0.1:1")
        self.sent = []

    async def send(self, message, address):
        """Record a message after encoding and decoding it."""
        self.sent.append(datagrams.decode(datagrams.encode(message)))


def make_peers():
    """Return the endpoint of a VM with all handlers.

    The VM limits a team whose limit is very large.
    """
    now = clock.now()
    store_view = view.View(lambda key, value: value)
    member = fleets.make_member("vm-1")._replace(is_settled=True)
    sender = fleets.make_member("vm-2")._replace(address="127.0.0.1:9")
    store_view.replace(
        now,
        store.Listing(
            (
                store.Item(fleet.make_member_key("vm-1"), member, 1),
                store.Item(fleet.make_member_key("vm-2"), sender, 1),
                store.Item("servers/i-1", fleets.make_target("i-1"), 1),
            ),
            1,
        ),
    )
    team = desired.Team("team", rate_per_s=LARGE_LIMIT, burst=LARGE_LIMIT)
    age = view_age.ViewAge()
    age.confirm(now)
    positions = position_history.PositionHistory()
    positions.add(now, records.LogPosition(1, 5))
    node = types.SimpleNamespace(
        view=types.SimpleNamespace(
            state=types.SimpleNamespace(
                version=1, teams={"team": team}, groups={"team": None}
            ),
            members=store_view.members,
            roster=store_view.roster,
            targets=store_view.targets,
            list_group=store_view.list_group,
            list_groups_with_newer_lead=(
                store_view.list_groups_with_newer_lead
            ),
            revision=store_view.revision,
            era_began_at=store_view.era_began_at,
            change_log=store_view.change_log,
        ),
        view_age=age,
        pools=pool.ConnectionPools(None),
        load_reports=load_reports.LoadReports(),
        metrics=metrics.MetricsRegistry(),
        confirmations=quorum.QuorumConfirmations(),
        acknowledgements=succession.Acknowledgements(),
        lease_until=now + 3600,
        get_log_positions=lambda group: positions,
        primary_resolver=types.SimpleNamespace(
            is_self_registered=lambda: True
        ),
        settings=types.SimpleNamespace(
            vm=types.SimpleNamespace(name="vm-1", domain="north"),
            bounds=types.SimpleNamespace(limit_slack=20.0),
            regions={"north": "east"},
            usage=proxy_settings.UsageSettings(5.0, 0.05, 10.0, 3.0),
        ),
        boot="boot",
    )
    peers = EncodingPeers()
    limits.Limits(node, peers)
    exchange = view_exchange.ViewExchange(
        node, peers, load_exchange.LoadExchange(node)
    )
    lease_relay.LeaseRelay(node, None, peers, exchange)
    position_exchange.PositionExchange(node, peers)
    suspicion_exchange.SuspicionExchange(node, peers)
    quorum_exchange.QuorumExchange(node, peers)
    acknowledgement_exchange.AcknowledgementExchange(node, peers)
    usage = collection.Collection(node, peers)
    usage.clock.settle(now + 10.0)
    assert usage.clock.is_settled
    return peers


@given(st.lists(any_message, max_size=5))
def test_any_message_is_handled(received):
    peers = make_peers()

    async def dispatch_all():
        for message in received:
            message = datagrams.decode(datagrams.encode(message))
            await peers.dispatch(message, SENDER)

    trio.run(dispatch_all)


def test_fallback_rate_of_a_very_large_limit_can_be_encoded():
    """The rate is sent in thousandths, in 32 bits."""
    peers = make_peers()
    token_request = messages.TokenRequest(
        number=1, team="team", wanted=MAX_I32, domain="north"
    )
    renewal = messages.FallbackRenewalRequest(
        number=2, team="team", domain="north", rate=0, is_in_use=False
    )

    async def request_tokens():
        for _ in range(20):
            await trio.sleep(0.01)
            await peers.dispatch(token_request, SENDER)
        await peers.dispatch(renewal, SENDER)

    trio.run(request_tokens)
    assert peers.sent[-2].tokens > 0
    assert peers.sent[-1].rate == MAX_I32
