"""Events of the part named budgets, 3000 to 3999."""

__all__: list[str] = []
