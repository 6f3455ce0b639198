"""Builds the control service that a server's options select, with the builders of its resources."""

from __future__ import annotations

from typing import NamedTuple

from scalefall.assignment.assembly import AssignmentSettings
from scalefall.assignment.service import ShardedService
from scalefall.control.catalog import Resource
from scalefall.control.service import ControlService, ResourceBuilder, RouteEntries
from scalefall.control.transport import resources
from scalefall.control.transport.options import ServerOptions, ShardingOptions
from scalefall.control.transport.quotas import Quotas, RouteQuotas, ShardQuotas
from scalefall.control.transport.services import AnyControlService
from scalefall.net.config import Config, RouteRules
from scalefall.net.list_stream import Entry
from scalefall.policy.actions import RouteAllowance
from scalefall.policy.settings import Settings


class BuiltService(NamedTuple):
    """A service, and the conversion of its quota messages.

    Attributes:
        service: The service, as a standby.
        quotas: Reads its clients' reports and makes messages of its grants.
    """

    service: AnyControlService
    quotas: Quotas


def build_service(config: Config, options: ServerOptions, now_us: int) -> BuiltService:
    """Build a service without a fleet, as a standby."""
    builder = _resource_builder(config.settings, options)
    built = (
        _build_unsharded(config, options, builder, now_us)
        if options.sharding is None
        else _build_sharded(config, options, options.sharding, builder, now_us)
    )
    built.service.ledger.step_down()
    return built


def _build_unsharded(config: Config, options: ServerOptions, builder: ResourceBuilder, now_us: int) -> BuiltService:
    """Build a service of which every client gets all destinations."""
    service = ControlService(
        now_us, config.settings, config.seed, builder, options.lease_us, options.delay_us, silence_us=options.lease_us
    )
    return BuiltService(service, RouteQuotas(service))


def _build_sharded(
    config: Config, options: ServerOptions, sharding: ShardingOptions, builder: ResourceBuilder, now_us: int
) -> BuiltService:
    """Build a service that shards destinations over senders."""
    assignment = AssignmentSettings(
        sharding.shards, options.lease_us, options.delay_us, sharding.move_after_us, sharding.sender_load
    )
    service = ShardedService(
        now_us,
        config.settings,
        config.seed,
        builder,
        options.lease_us,
        options.delay_us,
        silence_us=options.lease_us,
        assignment=assignment,
    )
    return BuiltService(service, ShardQuotas(service))


def _resource_builder(settings: Settings, options: ServerOptions) -> ResourceBuilder:
    """Return the builder of resources.

    Where destinations are sharded, endpoint lists have no time to live: one lease resource replaces theirs.
    """
    ttl_us = options.endpoint_lease_us
    is_sharded = options.sharding is not None
    endpoint_ttl_us = 0 if is_sharded else ttl_us

    def build_endpoints(route: int, entries: list[Entry], allowances: list[RouteAllowance], now_us: int) -> Resource:
        return resources.endpoint_resource(route, entries, allowances, now_us, endpoint_ttl_us)

    def build_static(entries: RouteEntries, rules: dict[int, RouteRules]) -> list[Resource]:
        built = resources.static_resources(entries, rules, settings)
        return [*built, resources.lease_resource(ttl_us)] if is_sharded else built

    return ResourceBuilder(build_static, build_endpoints)
