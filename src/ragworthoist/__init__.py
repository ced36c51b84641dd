"""Overload control for service call graphs.

A node of ragworthoist runs beside each backend server. Together the nodes decide
which customer requests are served, where, and how often an attempt is retried.
"""

from ragworthoist._document import Document, ExceptionRule, Kind
from ragworthoist._settings import Settings, load_settings
from ragworthoist.exceptions import RagworthoistError

__version__ = "0.1.0"

__all__ = [
    "Document",
    "ExceptionRule",
    "Kind",
    "RagworthoistError",
    "Settings",
    "__version__",
    "load_settings",
]
