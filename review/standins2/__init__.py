"""Stand-ins and helpers that scripts of review cases share; standard library only."""
