"""Control: the module's decisions handed to other proxies. Decisions here are pure; `transport` does the I/O."""
