"""Events of the part named membership, 5000 to 5999."""

__all__: list[str] = []
