"""A hollow sender's side of the quota stream: reports of use out, grants in, by destination.

It is the one place of the model that knows how grants are cut; where they go by shard, another class of this shape is
handed to the sender.
"""

from __future__ import annotations

from scalefall.lab.proxy import messages
from scalefall.lab.proxy.contract import USAGE_REPORT_INTERVAL_US, Contract


class DestinationGrants:
    interval_us = USAGE_REPORT_INTERVAL_US  # between reports

    def __init__(self, node: str, contract: Contract) -> None:
        self._node, self._contract = node, contract
        self.received = 0  # grants so far

    def report(self, now: int) -> bytes:
        """The next report of use, serialized."""
        return messages.usage_report(self._node, self._contract.usage_rows(now)).SerializeToString()

    def receive(self, data: bytes, now: int) -> None:
        """A message of the quota stream."""
        for given in messages.received_grants(messages.QuotaResponse.FromString(data)):
            self.received += 1
            self._contract.grant_received(given.route, given.amount, given.number, given.last_report, given.lease_us)
