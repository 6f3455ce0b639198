"""A hollow sender's side of the quota stream: usage reports out, grants in, by destination.

Only this class depends on grants being by destination; for grants by shard, the sender gets another class with the same
interface.
"""

from __future__ import annotations

from scalefall.lab.proxy import messages
from scalefall.lab.proxy.contract import USAGE_REPORT_INTERVAL_US, Contract


class DestinationGrants:
    """The quota stream of one sender, with grants by destination."""

    interval_us = USAGE_REPORT_INTERVAL_US

    def __init__(self, node: str, contract: Contract) -> None:
        self._node, self._contract = node, contract
        self.received = 0  # number of grants so far

    def report(self, now: int) -> bytes:
        """Return the next usage report, serialized."""
        return messages.usage_report(self._node, self._contract.usage_rows(now)).SerializeToString()

    def receive(self, data: bytes, now: int) -> None:
        """Process a message of the quota stream."""
        for grant in messages.received_grants(messages.QuotaResponse.FromString(data)):
            self.received += 1
            self._contract.grant_received(grant.route, grant.amount, grant.number, grant.last_report, grant.lease_us)
