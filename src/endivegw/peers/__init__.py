"""Calls between the fleet's own processes, over HTTP/2 by grpclib."""
