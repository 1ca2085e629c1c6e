"""Prepaid budgets: escrowed grants, reservations, sealing, billing."""
