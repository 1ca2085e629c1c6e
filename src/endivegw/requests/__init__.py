"""One request, one whole answer: identity, claims, attempts, frames, replay."""
