"""The errors that scalefall's packages raise across their borders.

Each package derives its own errors from these, so that a caller can tell apart whose fault a failure is: the operator's
(configuration), the peer's or ours (protocol), the disk's (storage).
"""

from __future__ import annotations


class ScalefallError(Exception):
    """The base of every error that a caller of scalefall may want to catch."""


class ConfigurationError(ScalefallError):
    """Settings, a configuration file or command line arguments that cannot be used."""


class ProtocolError(ScalefallError):
    """A rule of a protocol was broken; see the subclasses for by whom."""


class LocalProtocolError(ProtocolError):
    """This process tried something that the protocol does not allow in the present state."""


class RemoteProtocolError(ProtocolError):
    """The peer sent something that the protocol does not allow."""


class StorageError(ScalefallError):
    """Stored state cannot be read or written."""


class LeadershipError(ScalefallError):
    """An operation that only the leader may carry out was asked of another process, or leadership was lost."""


class AssignmentError(ScalefallError, ValueError):
    """Input that the assignment of destinations rejects; the text is one plain line, and nothing has changed.

    Also a ValueError: the input has the right type and an unacceptable value.
    """
