"""Exchanges UDP datagrams with the other instances."""

import asyncio
from collections.abc import Callable

import structlog

from sassafrasway_core import clock as clock_lib
from sassafrasway_core import errors
from sassafrasway_gateway import fleet, peer_messages, relay_role

# No message of an instance is larger.
MAX_DATAGRAM_BYTES = 1200
# Interval of the log lines about invalid datagrams, which anyone can send in any number.
INVALID_LOG_INTERVAL_S = 1.0
# Shortest interval between two messages to all members that this instance is live.
REFUTE_INTERVAL_S = 1.0


class PeerTask(asyncio.DatagramProtocol):
    """Pings members, answers pings, and exchanges announcements of table versions and reports.

    Args:
        port: UDP port used by all instances.
        versions: Returns the newest version of each followed table that this instance has.
        on_versions: Called with the name, host and table versions of another instance for each
            message that contains them.
        on_crash: Called with the request fingerprint and the server of a reported crash.
        on_beacon: Called with the name, host, region and table versions in an announcement, and its
            fields ``reads`` and ``unanswered``.
        on_answer_told: Called with the name of another instance and the time since it began the
            last call that the store answered, s.
        on_quota: Called with a message about rate limits and the address of its sender.
        on_heard: Called for each valid message of another instance.
        loads: Returns the load reports to send with a ping or its reply.
        on_loads: Called with the load reports of another instance.
    """

    def __init__(
        self,
        *,
        view: fleet.FleetView,
        port: int,
        versions: Callable[[], dict[str, int]],
        on_versions: Callable[[str, str, dict[str, int]], None],
        on_crash: Callable[[str, str], None],
        on_beacon: Callable[..., None],
        on_answer_told: Callable[[str, float], None],
        on_quota: Callable[[peer_messages.QuotaMessage, str], None] = lambda *args: None,
        on_heard: Callable[[], None] = lambda: None,
        loads: Callable[[], bytes] = bytes,
        on_loads: Callable[[bytes], None] = lambda data: None,
    ):
        self._view = view
        self._port = port
        self._versions = versions
        self._on_versions = on_versions
        self._on_crash = on_crash
        self._on_beacon = on_beacon
        self._on_answer_told = on_answer_told
        self._on_quota = on_quota
        self._on_heard = on_heard
        self._loads = loads
        self._on_loads = on_loads
        self._transport: asyncio.DatagramTransport | None = None
        self._host = ""
        self._invalid = 0
        self._invalid_logged_s = 0.0
        # Members that the previous step reported.
        self._reported: list[fleet.Member] = []
        self._refuted_s = float("-inf")
        self._log = structlog.get_logger("peers")

    async def start(self, host: str) -> None:
        """Opens the UDP socket on an address of this instance.

        Raises:
            OSError: The address cannot be bound.
        """
        self._host = host
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, self._port))

    async def run(self) -> None:
        """Pings members and reports the ones declared dead until cancelled.

        A socket that was closed by an error is opened again.

        Raises:
            OSError: The address cannot be bound again.
        """
        while True:
            await asyncio.sleep(fleet.PING_INTERVAL_S)
            if self._transport is None or self._transport.is_closing():
                await self.start(self._host)
            targets, dead = self._view.tick()
            for member in dead:
                self._log.warning("instance unreachable", peer=member.name)
            for member in self._view.dead_by_report:
                self._log.warning("instance reported as unreachable", peer=member.name)
            # Each report is sent twice, as datagrams may be lost.
            self._report(self._reported)
            self._report(dead)
            self._reported = dead
            for member in targets:
                self._send_hello(member, reply=True)
                if self._view.is_silent(member.name):
                    self._send_hello(member, reply=True)

    def announce_phase(self) -> None:
        """Sends the current phase of this instance to all known members."""
        for member in self._view.members():
            self._send_hello(member, reply=True)

    def send_beacon(
        self, recipients: list[fleet.Member], announcement: relay_role.Announcement
    ) -> None:
        """Sends an announcement of this instance to the given members."""
        own = self._view.own
        call_age_s = announcement.call_age_s
        beacon = peer_messages.Beacon(
            own.name,
            own.peer_host,
            own.region,
            announcement.versions,
            announcement.reads,
            tuple(announcement.unanswered),
            -1 if call_age_s is None else int(call_age_s * 1000.0),
        )
        for member in recipients:
            self._send(beacon, member)

    def report_crash(self, fingerprint: str, server: str) -> None:
        """Reports to all live members that a server crashed while it ran a request."""
        self._broadcast(peer_messages.Crashed(fingerprint, server))

    def send_quota(self, host: str, message: peer_messages.QuotaMessage) -> None:
        """Sends a message about rate limits to the address of an instance."""
        self._send_to(message, host)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See base class."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """See base class."""
        try:
            if len(data) > MAX_DATAGRAM_BYTES:
                raise errors.ValidationError(f"{len(data)} bytes", step="peer.receive")
            message = peer_messages.decode(data)
        except errors.ValidationError as error:
            self._log_invalid(addr[0], error)
            return
        if addr[0] != self._view.own.peer_host:
            self._on_heard()
        if isinstance(message, peer_messages.Hello):
            self._on_hello(message)
        elif isinstance(message, peer_messages.Unreachable):
            self._on_report(message)
        elif isinstance(message, peer_messages.Beacon):
            self._on_beacon(
                message.name,
                message.peer_host,
                message.region,
                message.versions,
                reads=message.reads,
                unanswered=message.unanswered,
            )
            self._on_versions(message.name, message.peer_host, message.versions)
            if message.call_age_ms >= 0:
                self._on_answer_told(message.name, message.call_age_ms / 1000.0)
        elif isinstance(message, peer_messages.Crashed):
            self._on_crash(message.fingerprint, message.server)
        elif isinstance(message, peer_messages.QuotaMessage):
            self._on_quota(message, addr[0])

    def error_received(self, exc: Exception) -> None:
        """See base class."""
        self._log.debug("datagram not delivered", error=str(exc))

    def connection_lost(self, exc: Exception | None) -> None:
        """See base class."""
        if exc is not None:
            self._log.error("socket for datagrams failed; opening it again", error=repr(exc))

    def _log_invalid(self, host: str, error: errors.ValidationError) -> None:
        self._invalid += 1
        now_s = clock_lib.elapsed_s()
        if now_s - self._invalid_logged_s < INVALID_LOG_INTERVAL_S:
            return
        self._log.warning("invalid datagrams", peer=host, count=self._invalid, error=str(error))
        self._invalid = 0
        self._invalid_logged_s = now_s

    def _on_hello(self, message: peer_messages.Hello) -> None:
        member = peer_messages.member_of(message)
        if self._view.on_message(member):
            self._log.info("instance reachable", peer=member.name, phase=member.phase.name)
        if message.reply:
            self._send_hello(member, reply=False)
        self._on_versions(message.name, message.peer_host, message.versions)
        self._on_loads(message.loads)

    def _on_report(self, message: peer_messages.Unreachable) -> None:
        own = self._view.own
        for name, incarnation in message.members:
            if name == own.name and incarnation == own.incarnation:
                self._refute(message.reporter)
            else:
                self._view.on_report(message.reporter, name, incarnation)

    def _refute(self, reporter: str) -> None:
        """Tells all members that this instance is live, which was reported as unreachable."""
        now_s = clock_lib.elapsed_s()
        if now_s - self._refuted_s < REFUTE_INTERVAL_S:
            return
        self._refuted_s = now_s
        self._log.warning("reported as unreachable; telling all members", reporter=reporter)
        self.announce_phase()

    def _report(self, members: list[fleet.Member]) -> None:
        """Reports unreachable members to all live ones, and to themselves."""
        for start in range(0, len(members), peer_messages.MAX_REPORTED):
            reported = members[start : start + peer_messages.MAX_REPORTED]
            message = peer_messages.Unreachable(
                self._view.own.name,
                tuple((member.name, member.incarnation) for member in reported),
            )
            self._broadcast(message)
            for member in reported:
                self._send(message, member)

    def _send_hello(self, member: fleet.Member, *, reply: bool) -> None:
        message = peer_messages.hello(
            self._view.own, reply=reply, versions=self._versions(), loads=self._loads()
        )
        self._send(message, member)

    def _broadcast(self, message: peer_messages.Message) -> None:
        for member in self._view.live_members():
            self._send(message, member)

    def _send(self, message: peer_messages.Message, member: fleet.Member) -> None:
        self._send_to(message, member.peer_host)

    def _send_to(self, message: peer_messages.Message, host: str) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        self._transport.sendto(peer_messages.encode(message), (host, self._port))
