"""Events of the part named platform, 6000 to 6999."""

__all__: list[str] = []
