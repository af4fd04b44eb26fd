"""Membership of the cell, and placement of work on its members.

A cell is the VMs of one failure domain that follow one elected leader.
`decisions.cell` decides; this module sends its heartbeats and claims to
other daemons, and lets other plug-ins add fields to them.
"""

import logging
import secrets

import trio

from geraniumridge._internal.decisions import cell
from geraniumridge._internal.decisions import cell_messages
from geraniumridge._internal import exceptions
from geraniumridge._internal.kernel import kernel
from geraniumridge._internal.kernel import registry
from geraniumridge._internal.models import config
from geraniumridge._internal.models import membership
from geraniumridge._internal.network import platform
from geraniumridge._internal.network import wire
from geraniumridge._internal.utils import rendezvous

logger = logging.getLogger(__name__)

VM_LIST_INTERVAL_S = 2.0
"""Interval at which the platform's list of VMs is read."""

TICKS_PER_HEARTBEAT = 5
"""Calls of `Cell.tick` in one heartbeat interval."""

LEAVE_POLL_S = 0.05
"""Interval at which a stopping VM checks whether it has left the cell."""

CALL_TIMEOUT_LEASES = 0.5
"""Timeout of a heartbeat or claim, in lengths of a lease. A lease counts from
the sending of its heartbeat, so that at least this much of it is left when a
granted one is answered."""

RESIGN_WAIT_HEARTBEATS = 5
"""Heartbeat intervals that a leader waits after it resigned, so that
another VM can become the leader."""


@registry.PLUGINS.register("membership")
class Membership(kernel.Plugin):
    """Membership in this VM's cell, and placement of keys in every cell."""

    def __init__(self, daemon_kernel):
        super().__init__(daemon_kernel)
        settings = self._settings
        self._me = membership.Member(
            settings.vm.name,
            secrets.token_hex(4),
            settings.listen.advertise or settings.listen.peers,
        )
        self._cell = cell.Cell(
            self._me,
            settings.cell.heartbeat_s,
            settings.cell.lease_s,
            trio.current_time(),
        )
        self._cell.set_seeds(settings.cell.seeds)
        self._platform = platform.PlatformClient(
            settings.platform.address, settings.platform.timeout_s
        )
        self._changed = trio.Event()
        self._last_state = None
        self._heartbeat_extensions = []
        self._listeners = []
        self._listed_addresses = {}

    @property
    def cell(self):
        """The `decisions.cell.Cell` of this VM."""
        return self._cell

    @property
    def me(self):
        """The `Member` that stands for this VM."""
        return self._me

    @property
    def reads_platform(self):
        """Whether this VM reads the platform itself.

        It does as the leader of its cell or while no leader is known.
        """
        now = trio.current_time()
        return self._cell.is_leader or not self._cell.knows_leader(now)

    @property
    def listed_addresses(self):
        """Peer addresses in the platform's list, by domain and VM name."""
        return self._listed_addresses

    def add_heartbeat_extension(self, extension):
        """Let a plug-in add fields to heartbeats and their answers.

        Parameters
        ----------
        extension : object
            Plug-in with ``extend_heartbeat(message)``,
            ``extend_answer(heartbeat, message)``,
            ``read_heartbeat(message)`` and
            ``read_answer(message, sent_at, address)``.
        """
        self._heartbeat_extensions.append(extension)

    def add_listener(self, listener):
        """Call a function at once after each change of membership.

        That is a change of the view, of whether this VM leads the cell, or
        of whether it may act. The call comes before `wait_changed` wakes.
        """
        self._listeners.append(listener)

    async def start(self, nursery):
        """Start to send heartbeats and to read the list of VMs."""
        self._nursery = nursery
        self._peers = self._kernel.get("peers")
        self._configuration = self._kernel.get("configuration")
        self._directory = self._kernel.get("directory")
        messages = wire.messages
        self._peers.handle(messages.Heartbeat, self._answer_heartbeat)
        self._peers.handle(messages.Claim, self._answer_claim)
        nursery.start_soon(self._poll_vm_list)
        nursery.start_soon(self._run_heartbeats)

    async def leave_cell(self):
        """Leave the cell, so that other VMs take over what this one owns.

        A leader first waits for `RESIGN_WAIT_HEARTBEATS` after it resigned.
        Then the call waits until the VM is out of the view, or for two
        leases.
        """
        was_leader = self._cell.is_leader
        self._cell.leave(trio.current_time())
        heartbeat_s = self._settings.cell.heartbeat_s
        if was_leader:
            await trio.sleep(RESIGN_WAIT_HEARTBEATS * heartbeat_s)
        with trio.move_on_after(2 * self._settings.cell.lease_s):
            while not self._cell.has_left:
                await trio.sleep(LEAVE_POLL_S)

    def owns(self, key):
        """Return whether a key is placed on this VM, which may act on it."""
        return self._cell.owns(trio.current_time(), key)

    def get_share(self):
        """Return the fraction of the domain's rate limits held by the view."""
        return self._cell.get_share(trio.current_time())

    def leads_domain_majority(self):
        """Return whether this VM leads a majority of its domain's VMs."""
        return self._cell.leads_domain_majority(trio.current_time())

    def find_view(self, domain):
        """Return the newest known `View` of a domain's cell, or None."""
        if domain == self._settings.vm.domain and self._cell.view:
            return self._cell.view
        return self._directory.find_view(domain)

    def find_owner(self, domain, key):
        """Return the `Member` on which a key is placed, or None."""
        view = self.find_view(domain)
        if view is None:
            return None
        return view.find_member(rendezvous.choose_node(key, view.names))

    def find_gateway(self, domain, group, target):
        """Return the `Member` that is a target's gateway, or None.

        `domain` is the failure domain of the target.
        """
        return self.find_owner(domain, config.make_target_name(group, target))

    async def call_gateway(self, message, timeout_s):
        """Call the gateway of the target that a message names.

        Parameters
        ----------
        message : wire message
            The call, with a `group` and a `target`.
        timeout_s : float
            Timeout of the call, in seconds.

        Raises
        ------
        exceptions.UnavailableError
            If the gateway is not known.
        exceptions.NetworkError
            If the call fails.
        exceptions.RequestError
            If the gateway refuses the call.
        """
        group, target = message.group, message.target
        document = self._configuration.document
        domain = document.groups[group].targets[target].domain
        gateway = self.find_gateway(domain, group, target)
        if gateway is None:
            name = config.make_target_name(group, target)
            raise exceptions.UnavailableError(f"no gateway of {name}")
        return await self._peers.call(gateway.address, message, timeout_s)

    def find_leader(self, domain):
        """Return the `Member` that leads a domain's cell, or None."""
        view = self.find_view(domain)
        return view and view.find_member(view.leader)

    def find_vm(self, name):
        """Return the `Member` with a name in any known view, or None."""
        for domain in (self._settings.vm.domain, *self._directory.domains):
            view = self.find_view(domain)
            found = view and view.find_member(name)
            if found:
                return found
        return None

    async def wait_changed(self, timeout_s):
        """Wait for a change of placement, or for `timeout_s` seconds."""
        with trio.move_on_after(timeout_s):
            await self._changed.wait()

    async def _run_heartbeats(self):
        tick_s = self._settings.cell.heartbeat_s / TICKS_PER_HEARTBEAT
        while True:
            for action in list(self._cell.tick(trio.current_time())):
                self._send_message(action)
            self._notify_view_change()
            await trio.sleep(tick_s)

    def _send_message(self, action):
        if isinstance(action, cell_messages.SendHeartbeat):
            self._nursery.start_soon(
                self._send_heartbeat, action.address, action.heartbeat
            )
        else:
            self._nursery.start_soon(
                self._send_claim, action.address, action.claim
            )

    async def _send_heartbeat(self, address, heartbeat):
        message = wire.pack(heartbeat)
        for extension in self._heartbeat_extensions:
            extension.extend_heartbeat(message)
        sent_at = trio.current_time()
        try:
            answer = await self._call(address, message)
            unpacked = self._unpack_answer(answer)
        except (exceptions.NetworkError, exceptions.RequestError) as error:
            logger.debug("heartbeat failed", extra={"reason": str(error)})
            return
        now = trio.current_time()
        send_next = self._cell.handle_heartbeat_answer(
            now, sent_at, address, unpacked
        )
        if unpacked.granted:
            for extension in self._heartbeat_extensions:
                extension.read_answer(answer, sent_at, address)
        self._notify_view_change()
        if send_next and self._cell.leader_address:
            await self._send_heartbeat(
                self._cell.leader_address, self._cell.make_heartbeat()
            )

    def _unpack_answer(self, answer):
        """Return an answer with its view, which it omits if it is known here.

        Raises
        ------
        exceptions.ProtocolError
            If a granted answer omits a view that is not known here.
        """
        unpacked = wire.unpack(membership.HeartbeatAnswer, answer)
        view = self._cell.view
        if unpacked.granted and unpacked.view is None:
            if view is None or view.number != unpacked.number:
                raise exceptions.ProtocolError("grant of an unknown view")
            unpacked = unpacked._replace(view=view)
        return unpacked

    async def _send_claim(self, address, claim):
        try:
            answer = await self._call(address, wire.pack(claim))
            unpacked = wire.unpack(membership.ClaimAnswer, answer)
            sender = wire.unpack(membership.Member, answer.sender)
        except (exceptions.NetworkError, exceptions.RequestError) as error:
            logger.debug("claim failed", extra={"reason": str(error)})
            return
        self._cell.handle_claim_answer(
            trio.current_time(), claim.number, sender, unpacked
        )

    async def _call(self, address, message):
        """Call a peer and return the answer."""
        timeout_s = CALL_TIMEOUT_LEASES * self._settings.cell.lease_s
        return await self._peers.call(address, message, timeout_s)

    async def _answer_heartbeat(self, message):
        heartbeat = wire.unpack(membership.Heartbeat, message)
        answer = self._cell.handle_heartbeat(trio.current_time(), heartbeat)
        packed = wire.pack(answer)
        if answer.granted:
            if (heartbeat.number, heartbeat.leader) == answer.view.epoch:
                # The member has this view, so the answer omits it.
                packed.view = None
            for extension in self._heartbeat_extensions:
                extension.read_heartbeat(message)
                extension.extend_answer(message, packed)
        return packed

    async def _answer_claim(self, message):
        claim = wire.unpack(membership.Claim, message)
        answer = self._cell.handle_claim(trio.current_time(), claim)
        packed = wire.pack(answer)
        packed.sender = wire.pack(self._me)
        self._notify_view_change()
        return packed

    def _notify_view_change(self):
        view = self._cell.view
        now = trio.current_time()
        # The empty key is placed on one member only; for the others the
        # share decides. It is 0 without a lease, and a share of 0 counts as
        # no right to act.
        may_act = self._cell.owns(now, "") or self._cell.get_share(now)
        state = (view and view.epoch, self._cell.is_leader, bool(may_act))
        if state == self._last_state:
            return
        self._last_state = state
        for listener in self._listeners:
            listener()
        self._changed.set()
        self._changed = trio.Event()
        logger.info(
            "view changed",
            extra={
                "event": "view_changed",
                "number": view and view.number,
                "leader": view and view.leader,
                "members": sorted(view.names) if view else [],
            },
        )

    async def _poll_vm_list(self):
        while True:
            if self.reads_platform or not self._listed_addresses:
                await self._read_vm_list()
            await trio.sleep(VM_LIST_INTERVAL_S)

    async def _read_vm_list(self):
        try:
            entries = await self._platform.list_vms()
        except exceptions.GeraniumridgeError as error:
            logger.debug("list of VMs not read", extra={"reason": str(error)})
            return
        addresses = {}
        for item in entries:
            addresses.setdefault(item.domain, {})[item.name] = item.address
        self._listed_addresses = addresses
        listed = addresses.get(self._settings.vm.domain, {})
        self._cell.set_listed_vms(trio.current_time(), listed)
