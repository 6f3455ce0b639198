"""Conversion between discovery messages and the types of streams.py. No I/O.

A response is the concatenation of two serialized messages, which protobuf parses as one: the resources, which are the
same for every client, and the stream's nonce and version. So an endpoint's change is serialized once for all clients.
Source: envoy.service.discovery.v3.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TypeAlias

from envoy.service.discovery.v3 import discovery_pb2

from scalefall.control.catalog import Resource
from scalefall.control.streams import Request, Response
from scalefall.control.transport.protobuf import serialize

MAX_CACHED_RESOURCE_SETS = 256  # serialized sets of resources cached for further clients
CONTROL_PLANE_ID = "scalefall"
TTL_FEATURE = "xds.config.supports-resource-ttl"  # the name in the xDS protocol specification


# -- requests


def parse_request(message: discovery_pb2.DiscoveryRequest) -> Request:
    """Parse a state-of-the-world request."""
    return Request(message.type_url, message.response_nonce, tuple(message.resource_names), error=_error(message))


def parse_delta_request(message: discovery_pb2.DeltaDiscoveryRequest) -> Request:
    """Parse an incremental request."""
    return Request(
        message.type_url,
        message.response_nonce,
        tuple(message.resource_names_subscribe),
        tuple(message.resource_names_unsubscribe),
        tuple(message.initial_resource_versions.items()),
        _error(message),
    )


def _error(message: discovery_pb2.DiscoveryRequest | discovery_pb2.DeltaDiscoveryRequest) -> str | None:
    """Return the text of a rejection; None if the request rejects nothing."""
    if not message.HasField("error_detail"):
        return None
    text: str = message.error_detail.message
    return text or "no reason given"


# -- responses


# All that the serialized resources of a response depend on: incremental, supports_ttl, is_heartbeat, the type URL,
# the resources and the removed names. A plain tuple for speed, as one is made for each response.
_CacheKey: TypeAlias = tuple[bool, bool, bool, str, tuple[Resource, ...], tuple[str, ...]]


class ResponseEncoder:
    """Serializes responses, with a cache of the most recent resources."""

    def __init__(self) -> None:
        """Start with an empty cache."""
        self._cache: OrderedDict[_CacheKey, bytes] = OrderedDict()

    def encode(self, response: Response, incremental: bool, supports_ttl: bool) -> bytes:
        """Return a response as bytes.

        Args:
            response: The response.
            incremental: Whether the stream is incremental.
            supports_ttl: Whether the client supports times to live of resources.
        """
        key = (incremental, supports_ttl, response.is_heartbeat, response.type, response.resources, response.removed)
        encoded = self._cache.get(key)
        if encoded is None:
            encoded = self._cache[key] = _encode_resources(response, incremental, supports_ttl)
            if len(self._cache) > MAX_CACHED_RESOURCE_SETS:
                self._cache.popitem(last=False)
        self._cache.move_to_end(key)
        return encoded + _encode_stream_fields(response, incremental)


def _encode_resources(response: Response, incremental: bool, supports_ttl: bool) -> bytes:
    """Serialize the resources, which are the same for every client."""
    if incremental:
        return serialize(_incremental_message(response, supports_ttl))
    return serialize(_state_of_the_world_message(response, supports_ttl))


def _encode_stream_fields(response: Response, incremental: bool) -> bytes:
    """Serialize the nonce and the version, which are the stream's own."""
    if incremental:
        return serialize(
            discovery_pb2.DeltaDiscoveryResponse(nonce=response.nonce, system_version_info=response.version)
        )
    return serialize(discovery_pb2.DiscoveryResponse(nonce=response.nonce, version_info=response.version))


def _state_of_the_world_message(response: Response, supports_ttl: bool) -> discovery_pb2.DiscoveryResponse:
    message = discovery_pb2.DiscoveryResponse(type_url=response.type)
    message.control_plane.identifier = CONTROL_PLANE_ID
    for resource in response.resources:
        if resource.ttl_us and supports_ttl:  # wrapped, as only the wrapper has a time to live
            message.resources.add().Pack(_wrapped(resource, response.is_heartbeat, supports_ttl))
        else:
            message.resources.append(resource.body)
    return message


def _incremental_message(response: Response, supports_ttl: bool) -> discovery_pb2.DeltaDiscoveryResponse:
    message = discovery_pb2.DeltaDiscoveryResponse(type_url=response.type, removed_resources=response.removed)
    message.control_plane.identifier = CONTROL_PLANE_ID
    message.resources.extend(_wrapped(resource, response.is_heartbeat, supports_ttl) for resource in response.resources)
    return message


def _wrapped(resource: Resource, is_heartbeat: bool, supports_ttl: bool) -> discovery_pb2.Resource:
    """Return a resource with its name, version and time to live; a heartbeat has no body."""
    message = discovery_pb2.Resource(name=resource.name, version=resource.version)
    if resource.ttl_us and supports_ttl:
        message.ttl.FromMicroseconds(resource.ttl_us)
    if not is_heartbeat:
        message.resource.CopyFrom(resource.body)
    return message
