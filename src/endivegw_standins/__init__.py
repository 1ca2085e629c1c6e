"""Small stand-ins for what stands outside: the platform, engines and services.

They are for development and tests; no daemon of the product imports them.
"""
