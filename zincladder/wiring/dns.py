"""Builds the DNS front. Imported only if the operator's file enables it."""

from __future__ import annotations

from zincladder.admission.interface import Admission
from zincladder.config import DnsConfig
from zincladder.core.engine import Core
from zincladder.dns.answers import DnsResponder
from zincladder.dns.server import DnsServer
from zincladder.net.cache_transport import CacheTransport


def build_dns_server(
    config: DnsConfig, core: Core, caches: CacheTransport, admission: Admission
) -> DnsServer:
    """Returns a server that already listens; its `run` answers queries."""
    answers = DnsResponder(config, core, caches.pool.address_of)
    return DnsServer(config.listen, answers, core.clock, admission, core.endpoint_list.wait_until_synced)
