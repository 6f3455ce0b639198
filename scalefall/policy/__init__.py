"""Every decision on a message: events in, actions out, with no input, output or clock of its own.

The ordinary path is LMAC, the measurement-based admission control of Kanodia and Knightly, "Ensuring Latency Targets
in Multiclass Web Servers": request and service envelopes for each class on each route; a message is admitted only if
the predicted high-percentile delay keeps its class and all others within their targets.

Import from the modules: `engine` (the entry: `Engine.handle(now_us, events) -> actions`), `events`, `actions` and
`settings`. The rest is internal. Times are whole microseconds on the caller's clock, unless a name says otherwise.
"""
