"""The edge for clients whose attempts carry their own ids, time limits and routes.

It shares the core, the peer streams and the membership with the edge for tickets.
"""
