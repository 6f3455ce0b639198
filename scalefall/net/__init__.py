"""The real sender: the module's host interface on sockets, greenlets over select.poll."""
