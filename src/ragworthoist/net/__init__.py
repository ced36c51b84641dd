"""Network input and output: peer streams, datagrams and HTTP.

The decisions about requests are made in `core`.
"""
