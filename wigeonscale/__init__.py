"""A router for language-model pipelines over mixed accelerators."""

__all__ = ["__version__"]

import os

# Read when gRPC is first imported. Its notes on standard error are no JSON lines,
# and what matters reaches us as the error of a call.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

__version__ = "0.1.0"
