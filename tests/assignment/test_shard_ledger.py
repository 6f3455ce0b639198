"""Leases on shards from the holders' side: what they really may use, whatever is lost, late, cut off or restarted."""

from __future__ import annotations

from collections import deque

from hypothesis import settings as limits
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from scalefall.assignment.holder import ShardHolder
from scalefall.assignment.ledger import ShardLedger
from scalefall.assignment.model import FULL_QUOTA, UNLIMITED

S = 1_000_000
LEASE, DELAY = 4 * S, 5 * S
SHARDS = 3  # shard 2 may be split; destinations 0 to 5 are of shard destination % SHARDS
SPLIT = 2
DESTINATIONS = range(6)
OWN = {0: SHARDS, 2: SHARDS + 1}  # destinations that may be isolated, and to which shard
NAMES = "abcd"


def shard_of(destination):
    """Return a destination's home shard."""
    return destination % SHARDS


class LeaseMachine(RuleBasedStateMachine):
    """Messages take up to DELAY each way or are lost; a holder cut off keeps what it has; the service may restart."""

    names = st.sampled_from(NAMES)
    delays = st.lists(st.none() | st.sampled_from([0, S, DELAY]) | st.integers(0, DELAY), max_size=6)
    spans = st.sampled_from([0, S // 2, 2 * S, 3 * S])

    @initialize()
    def start(self):
        """Three holders, each with one shard."""
        self.now, self.wire, self.holders, self.live = 0, [], {}, set()
        self.allowances = {destination: deque([(0, UNLIMITED)]) for destination in DESTINATIONS}
        self.targets, self.isolated = {}, set()
        self.ledger, self.generation, self.began = ShardLedger(-LEASE - DELAY, LEASE, DELAY), 0, 0
        for shard, name in enumerate("abc"):
            self.joins(name)
            self.is_assigned(shard, name, None)

    def own_shard(self, destination):
        """Return the shard that a destination is of now."""
        return OWN[destination] if destination in self.isolated else shard_of(destination)

    def step(self, delays):
        """Send the grants of one step, each with a delay; None loses it."""
        for grant in self.ledger.step(self.now):
            delay = delays.pop() if delays else 0
            if delay is not None:
                self.wire.append((self.now + delay, "grant", grant, self.generation))

    def goes_on(self, span, delays):
        """Step at once, then let time pass."""
        self.step(delays)
        self.time_goes_on(span, delays)

    @rule(span=st.integers(1, LEASE + DELAY), delays=delays)
    def time_goes_on(self, span, delays):
        """Deliver messages and step whenever either is due; the rules hold after each."""
        end = self.now + span
        while True:
            due = [row for row in self.wire if row[0] <= end]
            at = min([max(self.now + 1, self.ledger.next_deadline(self.now)), *(row[0] for row in due)])
            if at > end:
                break
            self.now = at
            for row in [row for row in due if row[0] <= at]:
                self.wire.remove(row)
                self.arrived(row, delays)
            self.step(delays)
            self.rules_hold()
        self.now = end

    def arrived(self, row, delays):
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
                self.wire.append((self.now + delay, "ack", grant, generation))

    @rule(name=names)
    def joins(self, name):
        """A holder can be heard."""
        self.holders.setdefault(name, ShardHolder(shard_of))
        self.live.add(name)
        self.ledger.holder_joined(name)

    @rule(name=names, span=spans, delays=delays)
    def is_cut_off(self, name, span, delays):
        """A holder can be heard no more, and uses what it has."""
        self.live.discard(name)
        self.ledger.holder_disconnected(name)
        self.time_goes_on(span, delays)

    @rule(name=names)
    def forgets_what_was_withdrawn(self, name):
        """A holder drops tenures as early as it may."""
        if name in self.holders:
            self.holders[name].prune_withdrawn(self.now - DELAY)

    @rule(shard=st.integers(0, SHARDS + 1), name=names, other=st.none() | names, span=spans, delays=delays)
    def is_assigned(self, shard, name, other, span=0, delays=()):
        """Of a shard that may be split, a third to the other; of one that may not, all to one."""
        if shard >= SHARDS and shard not in [OWN[destination] for destination in self.isolated]:
            return
        quotas = {name: FULL_QUOTA}
        if other not in (None, name) and shard >= SPLIT:
            quotas = {name: 2 * FULL_QUOTA // 3, other: FULL_QUOTA // 3}
        if all(self.ledger.is_known(holder) for holder in quotas):
            self.targets[shard] = quotas
            self.ledger.assign(shard, quotas)
            self.goes_on(span, list(delays))

    @rule(
        destination=st.sampled_from(DESTINATIONS),
        amount=st.sampled_from([0, 10, 1000, 1050, 5000, 90_000, UNLIMITED]),
        span=spans,
        delays=delays,
    )
    def is_allowed(self, destination, amount, span, delays):
        """A destination's allowance changes."""
        self.allowances[destination].append((self.now, amount))
        self.ledger.set_limit(destination, self.own_shard(destination), amount)
        self.goes_on(span, delays)

    @rule(destination=st.sampled_from(sorted(OWN)), name=names, span=spans, delays=delays)
    def is_isolated(self, destination, name, span, delays):
        """A destination begins to move to a shard of its own."""
        if self.ledger.isolation(destination) or not self.ledger.is_free(OWN[destination]):
            return
        self.ledger.isolate(destination, shard_of(destination), OWN[destination])
        self.isolated.add(destination)
        self.is_assigned(OWN[destination], name, None, span, delays)

    @rule(destination=st.sampled_from(sorted(OWN)), span=spans, delays=delays)
    def is_merged(self, destination, span, delays):
        """A destination begins to move back."""
        if destination in self.isolated:
            self.ledger.merge(destination)
            self.isolated.discard(destination)
            self.targets.pop(OWN[destination], None)
            self.goes_on(span, delays)

    @precondition(lambda self: self.now >= self.began + LEASE + DELAY)
    @rule(keeps=st.booleans())
    def the_service_restarts(self, keeps):
        """Another one goes on, with the table of the one before or with another."""
        self.generation, self.began = self.generation + 1, self.now
        sent = [row[2].number for row in self.wire if row[1] == "grant"]
        had = [number for holder in self.holders.values() for number in holder.acknowledgements().values()]
        self.ledger = ShardLedger(self.now, LEASE, DELAY)
        self.ledger.resume(max(sent + had, default=0))
        for name in self.live:
            self.ledger.holder_joined(name)
        if not keeps:
            names = sorted(self.live)
            self.isolated = set()
            self.targets = {shard: {names[-1 - shard % len(names)]: FULL_QUOTA} for shard in range(SHARDS) if names}
        for destination in self.isolated:
            self.ledger.isolate(destination, shard_of(destination), OWN[destination])
        for destination, row in self.allowances.items():
            self.ledger.set_limit(destination, self.own_shard(destination), row[-1][1])
        for shard, quotas in list(self.targets.items()):
            known = {name: quota for name, quota in quotas.items() if name in self.live}
            self.targets[shard] = known
            self.ledger.assign(shard, known)

    @invariant()
    def rules_hold(self):
        """Quotas and budgets in use are within the rules of the ledger's page."""
        for shard in range(SHARDS + len(OWN)):
            quotas = [holder.quota(shard, self.now) for holder in self.holders.values()]
            assert sum(quotas) <= FULL_QUOTA
            assert shard >= SPLIT or sum(map(bool, quotas)) <= 1, "two epochs of a shard that is not split"
            if not self.generation:
                assert sum(quotas) <= self.ledger.in_use(shard, self.now)
        for destination, row in self.allowances.items():
            while len(row) > 1 and row[1][0] <= self.now - LEASE - DELAY:
                row.popleft()
            used = sum(holder.budget(destination, self.now) for holder in self.holders.values())
            assert used <= max(amount for _, amount in row), f"destination {destination}"

    def teardown(self):
        """Left alone, every live holder has its quota of its shards in the end, and knows every limit."""
        if not hasattr(self, "ledger"):
            return
        for _ in range(4 * (LEASE + DELAY) // S):
            self.time_goes_on(S, [])
        for shard, quotas in self.targets.items():
            for name in quotas.keys() & self.live:
                assert self.holders[name].quota(shard, self.now) == quotas[name]
                for destination in DESTINATIONS:
                    if self.own_shard(destination) == shard:
                        budget = quotas[name] * self.allowances[destination][-1][1] // FULL_QUOTA
                        assert self.holders[name].budget(destination, self.now) == budget


LeaseMachine.TestCase.settings = limits(max_examples=150, stateful_step_count=30, deadline=None, derandomize=True)
TestLeases = LeaseMachine.TestCase
