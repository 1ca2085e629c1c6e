"""A router fleet for model capacity sold on prepaid token budgets."""

__all__ = ["__version__"]

__version__ = "0.1.0"
