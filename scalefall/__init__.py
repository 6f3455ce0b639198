"""A sender that delivers messages to the HTTP endpoints of other systems, a control service and their tools."""

__version__ = "0.2.0"
