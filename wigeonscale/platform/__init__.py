"""The platform's names, formats and calls; decides nothing.

What the platform sends is read once, here, into the project's own types. Nothing
outside this folder knows a header, field or path of the platform.
"""
