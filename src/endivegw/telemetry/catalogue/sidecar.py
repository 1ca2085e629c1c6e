"""Events of the part named sidecar, 2000 to 2999."""

__all__: list[str] = []
