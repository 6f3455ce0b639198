"""The sender's network code: ingress, the loop around the engine, attempts and journal, on a `select.poll` loop."""
