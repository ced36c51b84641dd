"""Translation between the platform's interface and the product's own types.

Names of the platform are used only in this package. It makes no decisions: it decodes
input into types with descriptive fields, and encodes output.
"""
