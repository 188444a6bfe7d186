"""A router for language-model pipelines over mixed accelerators."""

__all__ = ["__version__"]

__version__ = "0.1.0"
