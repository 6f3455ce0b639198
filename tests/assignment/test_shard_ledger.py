"""A model check of the shard ledger: what holders may use under lost and late messages, disconnections and restarts."""

from __future__ import annotations

from collections import deque

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from scalefall.assignment.holder import ShardHolder
from scalefall.assignment.ledger import ShardLedger
from scalefall.assignment.model import FULL_QUOTA, UNLIMITED

SECOND = 1_000_000  # us
LEASE_US = 4 * SECOND
DELAY_US = 5 * SECOND
SHARDS = 3  # shared shards; a destination's home shard is its number modulo SHARDS
SPLITTABLE_SHARD = 2  # the first shard that may have two holders
DESTINATIONS = range(6)
OWN_SHARDS = {0: SHARDS, 2: SHARDS + 1}  # the own shards of the destinations that may be isolated
HOLDER_NAMES = "abcd"


def shard_of(destination):
    """Return a destination's home shard."""
    return destination % SHARDS


class LeaseMachine(RuleBasedStateMachine):
    """Messages are lost or take up to DELAY_US; disconnected holders use their leases; the service may restart."""

    names = st.sampled_from(HOLDER_NAMES)
    delays = st.lists(st.none() | st.sampled_from([0, SECOND, DELAY_US]) | st.integers(0, DELAY_US), max_size=6)
    spans_us = st.sampled_from([0, SECOND // 2, 2 * SECOND, 3 * SECOND])

    @initialize()
    def start(self):
        """Start three holders, each with one shard."""
        self.now, self.in_transit, self.holders, self.live = 0, [], {}, set()
        self.allowances = {destination: deque([(0, UNLIMITED)]) for destination in DESTINATIONS}
        self.targets, self.isolated = {}, set()
        self.ledger, self.generation, self.started_at = ShardLedger(-LEASE_US - DELAY_US, LEASE_US, DELAY_US), 0, 0
        for shard, name in enumerate("abc"):
            self.register_holder(name)
            self.change_assignment(shard, name, None)

    def own_shard(self, destination):
        """Return the present shard of a destination."""
        return OWN_SHARDS[destination] if destination in self.isolated else shard_of(destination)

    def step(self, delays):
        """Send the grants of one step, each with a delay; a grant with delay None is lost."""
        for grant in self.ledger.step(self.now):
            delay = delays.pop() if delays else 0
            if delay is not None:
                self.in_transit.append((self.now + delay, "grant", grant, self.generation))

    def step_and_simulate(self, span_us, delays):
        """Step at once, then simulate a time span."""
        self.step(delays)
        self.simulate_time(span_us, delays)

    @rule(span_us=st.integers(1, LEASE_US + DELAY_US), delays=delays)
    def simulate_time(self, span_us, delays):
        """Deliver messages and step whenever either is due, and check the invariants after each."""
        end = self.now + span_us
        while True:
            due = [row for row in self.in_transit if row[0] <= end]
            at = min([max(self.now + 1, self.ledger.next_deadline(self.now)), *(row[0] for row in due)])
            if at > end:
                break
            self.now = at
            for row in [row for row in due if row[0] <= at]:
                self.in_transit.remove(row)
                self.deliver(row, delays)
            self.step(delays)
            self.quotas_and_budgets_are_within_limits()
        self.now = end

    def deliver(self, row, delays):
        """Deliver a grant to its holder, or its acknowledgement to the service that sent it."""
        _, kind, grant, generation = row
        if kind == "ack":
            if generation == self.generation:
                self.ledger.acknowledged(grant.holder, grant.shard, grant.number, self.now)
            return
        holder = self.holders[grant.holder]
        holder.granted(grant, self.now)
        if grant.holder in self.live:
            delay = delays.pop() if delays else 0
            if delay is not None:
                self.in_transit.append((self.now + delay, "ack", grant, generation))

    @rule(name=names)
    def register_holder(self, name):
        """Make a holder reachable."""
        self.holders.setdefault(name, ShardHolder(shard_of))
        self.live.add(name)
        self.ledger.holder_joined(name)

    @rule(name=names, span_us=spans_us, delays=delays)
    def disconnect_holder(self, name, span_us, delays):
        """Make a holder unreachable; it continues to use its leases."""
        self.live.discard(name)
        self.ledger.holder_disconnected(name)
        self.simulate_time(span_us, delays)

    @rule(name=names)
    def age_out_withdrawn_tenures(self, name):
        """Remove a holder's withdrawn tenures as early as permitted."""
        if name in self.holders:
            self.holders[name].prune_withdrawn(self.now - DELAY_US)

    @rule(shard=st.integers(0, SHARDS + 1), name=names, other=st.none() | names, span_us=spans_us, delays=delays)
    def change_assignment(self, shard, name, other, span_us=0, delays=()):
        """Assign a shard to one holder, or a third of a splittable shard to the other holder."""
        if shard >= SHARDS and shard not in [OWN_SHARDS[destination] for destination in self.isolated]:
            return
        quotas = {name: FULL_QUOTA}
        if other not in (None, name) and shard >= SPLITTABLE_SHARD:
            quotas = {name: 2 * FULL_QUOTA // 3, other: FULL_QUOTA // 3}
        if all(self.ledger.is_known(holder) for holder in quotas):
            self.targets[shard] = quotas
            self.ledger.assign(shard, quotas)
            self.step_and_simulate(span_us, list(delays))

    @rule(
        destination=st.sampled_from(DESTINATIONS),
        amount=st.sampled_from([0, 10, 1000, 1050, 5000, 90_000, UNLIMITED]),
        span_us=spans_us,
        delays=delays,
    )
    def change_allowance(self, destination, amount, span_us, delays):
        """Change a destination's allowance."""
        self.allowances[destination].append((self.now, amount))
        self.ledger.set_limit(destination, self.own_shard(destination), amount)
        self.step_and_simulate(span_us, delays)

    @rule(destination=st.sampled_from(sorted(OWN_SHARDS)), name=names, span_us=spans_us, delays=delays)
    def isolate_destination(self, destination, name, span_us, delays):
        """Start to move a destination to a shard of its own."""
        if self.ledger.isolation(destination) or not self.ledger.is_free(OWN_SHARDS[destination]):
            return
        self.ledger.isolate(destination, shard_of(destination), OWN_SHARDS[destination])
        self.isolated.add(destination)
        self.change_assignment(OWN_SHARDS[destination], name, None, span_us, delays)

    @rule(destination=st.sampled_from(sorted(OWN_SHARDS)), span_us=spans_us, delays=delays)
    def merge_destination(self, destination, span_us, delays):
        """Start to move a destination back to its home shard."""
        if destination in self.isolated:
            self.ledger.merge(destination)
            self.isolated.discard(destination)
            self.targets.pop(OWN_SHARDS[destination], None)
            self.step_and_simulate(span_us, delays)

    @precondition(lambda self: self.now >= self.started_at + LEASE_US + DELAY_US)
    @rule(keeps_table=st.booleans())
    def restart_service(self, keeps_table):
        """Replace the ledger by a new one, with the same table or another."""
        self.generation, self.started_at = self.generation + 1, self.now
        sent = [row[2].number for row in self.in_transit if row[1] == "grant"]
        received = [number for holder in self.holders.values() for number in holder.acknowledgements().values()]
        self.ledger = ShardLedger(self.now, LEASE_US, DELAY_US)
        self.ledger.resume(max(sent + received, default=0))
        for name in self.live:
            self.ledger.holder_joined(name)
        if not keeps_table:
            names = sorted(self.live)
            self.isolated = set()
            self.targets = {shard: {names[-1 - shard % len(names)]: FULL_QUOTA} for shard in range(SHARDS) if names}
        for destination in self.isolated:
            self.ledger.isolate(destination, shard_of(destination), OWN_SHARDS[destination])
        for destination, row in self.allowances.items():
            self.ledger.set_limit(destination, self.own_shard(destination), row[-1][1])
        for shard, quotas in list(self.targets.items()):
            known = {name: quota for name, quota in quotas.items() if name in self.live}
            self.targets[shard] = known
            self.ledger.assign(shard, known)

    @invariant()
    def quotas_and_budgets_are_within_limits(self):
        """Check the quotas and budgets in use against the ledger's invariants."""
        for shard in range(SHARDS + len(OWN_SHARDS)):
            quotas = [holder.quota(shard, self.now) for holder in self.holders.values()]
            assert sum(quotas) <= FULL_QUOTA
            assert shard >= SPLITTABLE_SHARD or sum(map(bool, quotas)) <= 1, "two epochs of a shard that is not split"
            if not self.generation:
                assert sum(quotas) <= self.ledger.in_use(shard, self.now)
        for destination, row in self.allowances.items():
            while len(row) > 1 and row[1][0] <= self.now - LEASE_US - DELAY_US:
                row.popleft()
            used = sum(holder.budget(destination, self.now) for holder in self.holders.values())
            assert used <= max(amount for _, amount in row), f"destination {destination}"

    def teardown(self):
        """Check that without further events every live holder eventually has its quotas and all limits."""
        if not hasattr(self, "ledger"):
            return
        for _ in range(4 * (LEASE_US + DELAY_US) // SECOND):
            self.simulate_time(SECOND, [])
        for shard, quotas in self.targets.items():
            for name in quotas.keys() & self.live:
                assert self.holders[name].quota(shard, self.now) == quotas[name]
                for destination in DESTINATIONS:
                    if self.own_shard(destination) == shard:
                        budget = quotas[name] * self.allowances[destination][-1][1] // FULL_QUOTA
                        assert self.holders[name].budget(destination, self.now) == budget


LeaseMachine.TestCase.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=30, deadline=None, derandomize=True
)
TestLeases = LeaseMachine.TestCase
