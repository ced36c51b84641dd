"""Translation between the platform's interface and the product's own types.

Names of the platform stand only here. Nothing in this package decides: it decodes
what arrives into types whose fields say what they hold, and encodes what leaves.
"""
