"""The policy engine: turns events into actions for every message, with no input, output or clock of its own.

Admission follows LMAC, the measurement-based admission control of Kanodia and Knightly, "Ensuring Latency Targets in
Multiclass Web Servers": each class has a request and a service envelope on each route, and a message is admitted only
if the predicted high-percentile delay stays within the targets of its class and of all others.

The public modules are `engine` (`Engine.handle(now_us, events) -> actions`), `events`, `actions` and `settings`. The
rest is internal. Times are whole microseconds on the caller's clock, unless a name says otherwise.
"""
