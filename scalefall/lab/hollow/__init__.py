"""Hollow senders: the control side's real code with sockets, clock and message traffic replaced by a model."""
