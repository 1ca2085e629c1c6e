"""Settings of the daemons, read from INI files and checked."""
