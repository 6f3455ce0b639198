"""Control: serves the engine's decisions to other proxies. The code here does no I/O; `transport` does."""
