"""Load and experiment tool: stand-ins for servers and stores, and a load generator.

Nodes do not use this package. The stand-in servers record every run of a request;
what customers received is checked against these records.
"""
