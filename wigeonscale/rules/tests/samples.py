"""Sample rules documents for tests."""

SMALL = """\
# The model of the marketplace.
[pipeline proof]
model = proof-1
layers = 12
replicas = 2

[service assign]
timeout = 5s

[organisation press]
keys = press-key, sha256:{digest}
share = 3

[organisation solo]

[rule notes]
when = organisation is press and path under /notes/
then = route service assign
repeat = never

; Everything else of the press group.
[rule press]
when = organisation is press
then = route pipeline proof
deadline = 90s
priority = 5
limit = 40

[rule rest]
when = always
then = refuse because no contract
""".format(digest="ab" * 32)
