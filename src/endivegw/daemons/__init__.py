"""The long-running programs: router and sidecar."""
