"""Stand-ins for what is outside: proxies, destinations and links that fail, in virtual time and on sockets."""
