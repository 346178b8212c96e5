"""Sockets: the listener, the RESP front, connections to cache servers, the journal client, the event loop."""
