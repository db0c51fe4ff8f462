"""What the DNS front answers: one message in, one message out. No sockets here."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import dns.exception
import dns.flags
import dns.message
import dns.name
import dns.opcode
import dns.rcode
import dns.rdataclass
import dns.rdatatype
import dns.rrset
import structlog

from zincladder.config import Address, DnsConfig
from zincladder.core.attempt import ClientRequest
from zincladder.core.engine import Core
from zincladder.routing import interface as api

TTL = 0  # guards a drain: a cached answer would go on naming a cache that has been told to drain
PLAIN_SIZE, MOST_SIZE = 512, 1232  # bytes over UDP without EDNS0, and with it at most
SERVICE = dns.name.from_text("_rpc._tcp", origin=None)
HEADER = 12
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Target:
    """What a host name stands for."""

    request_class: str
    object: int
    group: int


class Answers:
    """Answers queries from the core's decisions, for the operator's table of names."""

    def __init__(
        self, config: DnsConfig, core: Core, where: Callable[[api.EndpointId], Address | None]
    ) -> None:
        self._core, self._where, self._deadline = core, where, config.timeout_seconds
        self._zone = dns.name.from_text(config.zone)
        self._hosts = {
            dns.name.from_text(host.name): Target(
                core.classes.names[host.request_class], host.object, host.group
            )
            for host in config.hosts
        }
        # Names that exist though nothing is stored at them: the zone's own and those above a host's service.
        self._empty = {self._zone}
        for host in self._hosts:
            for name in (host, SERVICE.concatenate(host)):
                while name != self._zone:
                    self._empty.add(name)
                    name = name.parent()

    def respond(self, data: bytes, arrived: float, most: int | None = None) -> bytes | None:
        """The response to one message; None where none may be sent. `most` limits its size (UDP)."""
        if len(data) < HEADER or data[2] & 0x80:
            return None  # no id to answer to; or a response, and answering those could go on for ever
        try:
            query = dns.message.from_wire(data)
        except dns.message.UnknownTSIGKey:
            return self._bare(data, dns.rcode.NOTAUTH)
        except (dns.exception.DNSException, ValueError, NotImplementedError) as fault:
            log.info("dns query not understood", why=f"{type(fault).__name__}: {fault}"[:120])
            return self._bare(data, dns.rcode.FORMERR)
        if query.opcode() != dns.opcode.QUERY:
            return self._bare(data, dns.rcode.NOTIMP)
        if len(query.question) != 1:
            return self._bare(data, dns.rcode.FORMERR)
        response = dns.message.make_response(query, our_payload=MOST_SIZE)
        if query.edns > 0:
            response.set_rcode(dns.rcode.BADVERS)
        else:
            self._answer(query.question[0], response, arrived)
        self._core.counts["dns", dns.rcode.to_text(response.rcode()).lower()] += 1
        if most is not None:
            most = PLAIN_SIZE if query.edns < 0 else max(PLAIN_SIZE, min(query.payload, most))
        try:
            return response.to_wire(max_size=most or 65535)
        except dns.exception.TooBig:
            short = dns.message.make_response(query, our_payload=MOST_SIZE)
            short.set_rcode(response.rcode())
            short.flags |= dns.flags.TC | dns.flags.AA  # the client asks again over TCP
            return short.to_wire()

    def truncated(self, data: bytes) -> bytes | None:
        """A truncated answer without records, made without reading the question (RFC 1035, 4.1.1; RFC
        2181, 9).
        """
        if len(data) < HEADER or data[2] & 0x80:
            return None
        self._core.counts["dns", "truncated"] += 1
        return data[:2] + bytes([0x82 | data[2] & 0x79, 0]) + bytes(8)

    def _bare(self, data: bytes, rcode: dns.rcode.Rcode) -> bytes:
        """A header alone, for what cannot be read further."""
        self._core.counts["dns", dns.rcode.to_text(rcode).lower()] += 1
        return data[:2] + bytes([0x80 | data[2] & 0x79, int(rcode)]) + bytes(8)

    def _answer(self, question: dns.rrset.RRset, response: dns.message.Message, arrived: float) -> None:
        name = question.name
        if question.rdclass != dns.rdataclass.IN or not name.is_subdomain(self._zone):
            response.set_rcode(dns.rcode.REFUSED)
            return
        response.flags |= dns.flags.AA
        service = len(name) > len(SERVICE) and name.relativize(dns.name.Name(name[2:])) == SERVICE
        host = dns.name.Name(name[2:]) if service else name
        target = self._hosts.get(host)
        wanted = dns.rdatatype.SRV if service else dns.rdatatype.A
        if target and question.rdtype == wanted:
            self._steer(name, host, target, response, arrived)
            return
        if name not in self._empty:
            response.set_rcode(dns.rcode.NXDOMAIN)
        elif name == self._zone and question.rdtype == dns.rdatatype.SOA:
            response.answer.append(self._soa())
            return
        response.authority.append(self._soa())  # with its least time 0, so that a 'no' is not kept either

    def _steer(
        self,
        name: dns.name.Name,
        host: dns.name.Name,
        target: Target,
        response: dns.message.Message,
        arrived: float,
    ) -> None:
        """One member, one address: never a second name or address that a write could be tried at again."""
        deadline = arrived + self._deadline
        endpoint = None
        now = self._core.clock.now()
        request_class = self._core.classes.number_of(target.request_class, now)
        if request_class is not None and now < deadline:
            write = self._core.settings.classes[request_class].uncacheable
            request = ClientRequest(
                "", request_class, target.object, None, target.group, deadline, write=write
            )
            endpoint = self._core.route_only(request)
        where = self._where(endpoint) if endpoint is not None else None
        if where is None:
            response.set_rcode(dns.rcode.SERVFAIL)  # at once: the module gave up, or the query came too late
            return
        records = [dns.rrset.from_text(host, TTL, "IN", "A", where[0])]
        if name != host:
            records.insert(0, dns.rrset.from_text(name, TTL, "IN", "SRV", f"0 0 {where[1]} {host}"))
        response.answer.append(records[0])
        response.additional.extend(records[1:])

    def _soa(self) -> dns.rrset.RRset:
        text = f"ns.{self._zone} hostmaster.{self._zone} 1 60 60 60 0"
        return dns.rrset.from_text(self._zone, TTL, "IN", "SOA", text)
