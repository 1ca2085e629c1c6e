"""Events of the part named operators, 7000 to 7999."""

__all__: list[str] = []
