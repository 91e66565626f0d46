"""Framed messages over byte streams: server, client and connections."""
