"""Access to the declarations in the replicated state of a voter."""

from laburnumrock.declarations import DeclarationStore
from laburnumrock.state import ReplicatedState

DECLARATIONS_PART = "declarations"


class Replica:
    """Accessor for the declarations part of the replicated state.

    Parameters
    ----------
    state : ReplicatedState
        Replicated state of this voter.
    """

    def __init__(self, state: ReplicatedState) -> None:
        self.state = state

    @property
    def store(self) -> DeclarationStore:
        """Replicated declarations."""
        return self.state.parts[DECLARATIONS_PART]
