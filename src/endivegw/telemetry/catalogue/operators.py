"""Events of operator commands, 7000 to 7999; none are defined."""

__all__: list[str] = []
