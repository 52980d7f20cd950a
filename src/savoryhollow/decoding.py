"""What the decoders of documents from outside the process may raise.

Whatever another process has written, a decoder must answer with a typed error of the
project. An exception that isn't listed here would end the task that reads the document.
"""

import msgspec

__all__ = ["FAILURES"]

# RecursionError is raised for deeply nested documents.
FAILURES = (ValueError, OverflowError, RecursionError, msgspec.MsgspecError)
