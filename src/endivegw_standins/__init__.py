"""Small stand-ins for external systems: the platform, engines and services.

They are for development and tests only. No daemon of the product imports them.
"""
