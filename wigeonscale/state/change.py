"""What one command changed for those who watch the state."""

__all__ = ["Change"]

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Change:
    """What one command changed for those who watch the state.

    Attributes:
        index: Log index of the command.
        backends: Agents whose backend changed, came or went.
        chains: Chains that changed, came or went.
        configuration: Whether there is a new revision.
        document: Whether there is a new numbered document.
        crashes: Whether a record of crashes changed.
        is_restore: The whole state was replaced by a snapshot.
    """

    index: int
    backends: frozenset[str] = frozenset()
    chains: frozenset[str] = frozenset()
    configuration: bool = False
    document: bool = False
    crashes: bool = False
    is_restore: bool = False

    @property
    def affects_members(self) -> bool:
        """Whether backends or chains changed."""
        return bool(self.backends or self.chains or self.is_restore)
