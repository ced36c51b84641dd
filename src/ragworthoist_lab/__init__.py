"""Load and experiment tool: stand-ins of what ragworthoist serves, and a driver.

Nothing here is used by a node. The stand-ins keep records of their own, against
which answers are checked.
"""
