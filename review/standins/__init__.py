"""Small stand-ins of clients, engines and the platform for the review cases."""
