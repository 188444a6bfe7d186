"""Notification of what one command changed, for subscribers of the state."""

__all__ = ["Change"]

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Change:
    """What one command changed in the state.

    Attributes:
        index: Log index of the command.
        backends: Ids of agents whose backend was added, changed or removed.
        chains: Ids of chains that were added, changed or removed.
        configuration: Whether a new configuration revision was accepted.
        document: Whether a new numbered document was accepted.
        crashes: Whether a crash record changed.
        is_restore: Whether the whole state was replaced by a snapshot.
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
        """Whether backends or chains may have changed."""
        return bool(self.backends or self.chains or self.is_restore)
