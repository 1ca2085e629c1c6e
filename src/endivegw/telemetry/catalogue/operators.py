"""Events of operators' commands, 7000 to 7999; none so far."""

__all__: list[str] = []
