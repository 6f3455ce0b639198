"""A sender that delivers messages to other firms' endpoints, and the tools around it."""

__version__ = "0.2.0"
