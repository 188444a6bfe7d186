"""A router for language-model pipelines over mixed accelerators."""

__all__ = ["__version__"]

import os

# gRPC reads this when it is first imported. Its messages on standard error are not JSON
# lines, and relevant failures are reported as errors of the calls.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")

__version__ = "0.1.0"
