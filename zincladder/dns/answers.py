"""Builds the DNS front's responses from received messages. Performs no I/O."""

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

TTL_SECONDS = 0  # a resolver that cached an answer would still return an endpoint that is draining
UDP_BYTES_WITHOUT_EDNS = 512
MAX_UDP_BYTES = 1232
MAX_MESSAGE_BYTES = 65535
HEADER_BYTES = 12
# The flags in the third byte of a header (RFC 1035, 4.1.1).
QR_FLAG, TC_FLAG = 0x80, 0x02
COPIED_FLAGS = 0x79  # the opcode and RD, which a response copies from its query
MAX_LOGGED_ERROR_CHARACTERS = 120  # an error text may quote the query
SERVICE = dns.name.from_text("_rpc._tcp", origin=None)
log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class Target:
    """The request that is routed to answer a query for a host name."""

    request_class: str
    object: int
    group: int


def is_query(data: bytes) -> bool:
    """Returns whether a message has a complete header and is not a response.

    A response must not be answered: two servers would answer each other's responses for ever.
    """
    return len(data) >= HEADER_BYTES and not data[2] & QR_FLAG


class DnsResponder:
    """Answers queries for the hosts of the operator's file with the core's routing decisions."""

    def __init__(
        self, config: DnsConfig, core: Core, address_of: Callable[[api.EndpointId], Address | None]
    ) -> None:
        self._core = core
        self._address_of = address_of
        self._timeout_seconds = config.timeout_seconds
        self._zone = dns.name.from_text(config.zone)
        self._targets = {
            dns.name.from_text(host.name): Target(
                core.classes.names[host.request_class], host.object, host.group
            )
            for host in config.hosts
        }
        self._existing_names = self._names_in_zone()

    def _names_in_zone(self) -> set[dns.name.Name]:
        """Returns the names that exist in the zone; all others get NXDOMAIN.

        They are the zone, each host and its service name, and the names between these and the zone.
        """
        names = {self._zone}
        for host in self._targets:
            for name in (host, SERVICE.concatenate(host)):
                while name != self._zone:
                    names.add(name)
                    name = name.parent()
        return names

    def respond(self, data: bytes, arrived_at: float, max_bytes: int | None = None) -> bytes | None:
        """Returns the response to one message.

        Args:
            data: The received message.
            arrived_at: When it was received, in seconds of the core's clock.
            max_bytes: The largest response over UDP; None over TCP.

        Returns:
            The response, or None if the message must not be answered.
        """
        if not is_query(data):
            return None
        try:
            query = dns.message.from_wire(data)
        except dns.message.UnknownTSIGKey:
            return self._header_only(data, dns.rcode.NOTAUTH)
        except (dns.exception.DNSException, ValueError, NotImplementedError) as error:
            reason = f"{type(error).__name__}: {error}"[:MAX_LOGGED_ERROR_CHARACTERS]
            log.info("dns query malformed", reason=reason)
            return self._header_only(data, dns.rcode.FORMERR)
        if query.opcode() != dns.opcode.QUERY:
            return self._header_only(data, dns.rcode.NOTIMP)
        if len(query.question) != 1:
            return self._header_only(data, dns.rcode.FORMERR)
        response = dns.message.make_response(query, our_payload=MAX_UDP_BYTES)
        if query.edns > 0:
            response.set_rcode(dns.rcode.BADVERS)
        else:
            self._answer(query.question[0], response, arrived_at)
        self._count(response.rcode())
        return _to_wire(query, response, max_bytes)

    def truncated(self, data: bytes) -> bytes | None:
        """Returns a truncated response without records, so that the client repeats its query over TCP.

        Only the header of the message is read (RFC 1035, 4.1.1; RFC 2181, 9). Returns None if the message
        must not be answered.
        """
        if not is_query(data):
            return None
        self._core.counts["dns", "truncated"] += 1
        return _header(data, QR_FLAG | TC_FLAG, 0)

    def _header_only(self, data: bytes, rcode: dns.rcode.Rcode) -> bytes:
        """Returns the response to a query of which only the header can be used, and counts it."""
        self._count(rcode)
        return _header(data, QR_FLAG, int(rcode))

    def _count(self, rcode: dns.rcode.Rcode) -> None:
        self._core.counts["dns", dns.rcode.to_text(rcode).lower()] += 1

    def _answer(self, question: dns.rrset.RRset, response: dns.message.Message, arrived_at: float) -> None:
        name = question.name
        if question.rdclass != dns.rdataclass.IN or not name.is_subdomain(self._zone):
            response.set_rcode(dns.rcode.REFUSED)
            return
        response.flags |= dns.flags.AA
        is_service = len(name) > len(SERVICE) and name.relativize(dns.name.Name(name[2:])) == SERVICE
        host = dns.name.Name(name[2:]) if is_service else name
        target = self._targets.get(host)
        answered_type = dns.rdatatype.SRV if is_service else dns.rdatatype.A
        if target and question.rdtype == answered_type:
            self._answer_with_endpoint(name, host, target, response, arrived_at)
            return
        if name not in self._existing_names:
            response.set_rcode(dns.rcode.NXDOMAIN)
        elif name == self._zone and question.rdtype == dns.rdatatype.SOA:
            response.answer.append(self._soa())
            return
        # The SOA record's minimum of 0 keeps resolvers from caching the negative answer.
        response.authority.append(self._soa())

    def _answer_with_endpoint(
        self,
        name: dns.name.Name,
        host: dns.name.Name,
        target: Target,
        response: dns.message.Message,
        arrived_at: float,
    ) -> None:
        """Answers with one address of one endpoint.

        A client with a second address would retry a failed call there, but a write may run only once.
        """
        endpoint = self._route(target, arrived_at + self._timeout_seconds)
        address = self._address_of(endpoint) if endpoint is not None else None
        if address is None:
            response.set_rcode(dns.rcode.SERVFAIL)
            return
        records = [dns.rrset.from_text(host, TTL_SECONDS, "IN", "A", address[0])]
        if name != host:
            service = f"0 0 {address[1]} {host}"
            records.insert(0, dns.rrset.from_text(name, TTL_SECONDS, "IN", "SRV", service))
        response.answer.append(records[0])
        response.additional.extend(records[1:])

    def _route(self, target: Target, deadline: float) -> api.EndpointId | None:
        """Returns the endpoint for a request.

        Returns None if the request's class was removed, its deadline has passed, or the router rejects it.
        """
        now = self._core.clock.now()
        request_class = self._core.classes.number_of(target.request_class, now)
        if request_class is None or now >= deadline:
            return None
        write = self._core.settings.classes[request_class].uncacheable
        request = ClientRequest("", request_class, target.object, None, target.group, deadline, write=write)
        return self._core.route_only(request)

    def _soa(self) -> dns.rrset.RRset:
        text = f"ns.{self._zone} hostmaster.{self._zone} 1 60 60 60 0"
        return dns.rrset.from_text(self._zone, TTL_SECONDS, "IN", "SOA", text)


def _header(query: bytes, flags: int, rcode: int) -> bytes:
    """Returns a response that consists of a header only, with the query's id, opcode and RD flag."""
    return query[:2] + bytes([flags | query[2] & COPIED_FLAGS, rcode]) + bytes(8)


def _to_wire(query: dns.message.Message, response: dns.message.Message, max_bytes: int | None) -> bytes:
    """Returns the encoded response; a truncated one if it exceeds what the client or `max_bytes` allows."""
    if max_bytes is None:
        limit = MAX_MESSAGE_BYTES
    elif query.edns < 0:
        limit = UDP_BYTES_WITHOUT_EDNS
    else:
        limit = max(UDP_BYTES_WITHOUT_EDNS, min(query.payload, max_bytes))
    try:
        return response.to_wire(max_size=limit)
    except dns.exception.TooBig:
        truncated = dns.message.make_response(query, our_payload=MAX_UDP_BYTES)
        truncated.set_rcode(response.rcode())
        truncated.flags |= dns.flags.TC | dns.flags.AA
        return truncated.to_wire()
