"""The edge for attempts: nodes for clients whose attempts carry their own ids.

An attempt is one try of a client to have a request served. It may also carry a time
limit. Its route is found by host and path in the operators' configuration. The core,
the peer streams and the membership are shared with the edge for tickets.
"""
