"""Pipeline execution: batches steps, runs them in order and recovers lost stages."""
