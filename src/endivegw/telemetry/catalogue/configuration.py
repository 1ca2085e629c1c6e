"""Events of the part named configuration, 4000 to 4999."""

__all__: list[str] = []
