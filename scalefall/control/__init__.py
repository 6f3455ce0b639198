"""Control: the module's decisions handed to other proxies. Decisions here are pure; the transport stands at the
edge."""
