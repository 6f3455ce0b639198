"""Base classes of the errors that scalefall's packages raise to their callers.

Each package derives its own errors from these, so that a caller can distinguish the cause of a failure: the
operator's input (configuration), the peer or this process (protocol), or the disk (storage).
"""

from __future__ import annotations


class ScalefallError(Exception):
    """Base class of every error that a caller of scalefall may want to catch."""


class ConfigurationError(ScalefallError):
    """Settings, a configuration file or command line arguments that cannot be used."""


class ProtocolError(ScalefallError):
    """A rule of a protocol was broken; the subclass gives the side that broke it."""


class LocalProtocolError(ProtocolError):
    """This process tried an operation that the protocol does not allow in the current state."""


class RemoteProtocolError(ProtocolError):
    """The peer sent data that the protocol does not allow."""


class StorageError(ScalefallError):
    """Stored state cannot be read or written."""


class LeadershipError(ScalefallError):
    """An operation that only the leader may perform was requested from another process, or leadership was lost."""


class AssignmentError(ScalefallError, ValueError):
    """The assignment of destinations rejected its input; the text is one line, and no state has changed.

    Also a ValueError: the input has the right type and an unacceptable value.
    """
