"""Twisted sockets for HTTP, node connections, gossip and the platform."""
