"""Who is there: the platform's list of machines and the fleet's heartbeats."""
