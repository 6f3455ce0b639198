"""The laboratory: stand-ins for what is outside, in virtual time and on sockets. Begun with proxies and partners."""
