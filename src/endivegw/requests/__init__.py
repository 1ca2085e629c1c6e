"""Identity, claims, attempts and answers of requests, without input or output."""
