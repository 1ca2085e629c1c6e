"""Sans-IO logic for the identity, claims, attempts and answers of requests."""
