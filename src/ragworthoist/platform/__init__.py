"""Translation between the platform's formats and the project's own types.

The formats are those of the operators' configuration, the headers of attempts and
answers, the reports of backend servers, and the store. Names of the platform are used
only in this package. It makes no decisions: it decodes input into types with
descriptive fields, and encodes output.
"""
