"""Queries a front's DNS server for the endpoint of a service, for as long as the caller can wait."""

from __future__ import annotations

import ipaddress
import socket
import time
from collections.abc import Callable

import dns.exception
import dns.flags
import dns.inet
import dns.message
import dns.query
import dns.rdatatype

Address = tuple[str, int]
MIN_REPEAT_SECONDS, MAX_REPEAT_SECONDS = 0.25, 1.0  # delay before an unanswered query is repeated; doubles
MAX_MESSAGE_BYTES = 65_535


def query_service(
    name: str, front: Address, remaining_seconds: Callable[[], float]
) -> tuple[dns.message.Message, float]:
    """Queries a front for the SRV records of a name.

    The query may be lost, so it is repeated; but all repeats have the same id and one socket, which stays
    open, so that the answer to any of them counts, however late it is. What is not an answer to this query
    is dropped.

    Args:
        name: The service's name, as `_rpc._tcp.HOST`.
        front: The address and port of the front's DNS server.
        remaining_seconds: Returns the seconds that are left; raises an exception once there are none.

    Returns:
        The answer, and when its query was first sent, in seconds of the monotonic clock: the answer may be as
        old as that.

    Raises:
        OSError: The query could not be sent, or its truncated answer not be fetched over TCP.
        dns.exception.DNSException: The answer over TCP is no answer to the query.
    """
    query = dns.message.make_query(name, dns.rdatatype.SRV)
    first_sent_at = time.monotonic()
    answer = _query_over_udp(query, front, remaining_seconds)
    if answer.flags & dns.flags.TC:
        host, port = front
        try:
            answer = dns.query.tcp(query, host, remaining_seconds(), port)
        except dns.exception.Timeout as error:
            raise TimeoutError(str(error)) from error
    return answer, first_sent_at


def _query_over_udp(
    query: dns.message.Message, front: Address, remaining_seconds: Callable[[], float]
) -> dns.message.Message:
    repeat_seconds, repeat_at = MIN_REPEAT_SECONDS, time.monotonic()
    with socket.socket(dns.inet.af_for_address(front[0]), socket.SOCK_DGRAM) as sock:
        while True:
            if time.monotonic() >= repeat_at:
                sock.sendto(query.to_wire(), front)
                repeat_at = time.monotonic() + repeat_seconds
                repeat_seconds = min(2 * repeat_seconds, MAX_REPEAT_SECONDS)
            sock.settimeout(min(remaining_seconds(), max(0.001, repeat_at - time.monotonic())))
            try:
                data, source = sock.recvfrom(MAX_MESSAGE_BYTES)
            except TimeoutError:
                continue
            answer = _answer_to(query, data) if _is_same_address(source, front) else None
            if answer is not None:
                return answer


def _is_same_address(source: Address, front: Address) -> bool:
    return source[1] == front[1] and ipaddress.ip_address(source[0]) == ipaddress.ip_address(front[0])


def _answer_to(query: dns.message.Message, data: bytes) -> dns.message.Message | None:
    """Returns the answer to a query that a datagram holds; None if it holds something else."""
    try:
        answer = dns.message.from_wire(data)
    except dns.exception.DNSException:
        return None
    return answer if query.is_response(answer) else None
