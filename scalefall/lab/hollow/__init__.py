"""Hollow senders: the real code of a sender's control side, with sockets, clock and traffic replaced by a model."""
