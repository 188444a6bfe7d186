"""Cases of an independent review; no part of the product or of its tests."""
