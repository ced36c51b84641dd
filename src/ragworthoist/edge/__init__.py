"""The edge for clients whose attempts bring ids, time limits and routes of their own.

It shares the core, the peer streams and the membership with the edge for tickets.
"""
