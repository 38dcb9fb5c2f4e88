"""Side effects that the state machines request."""

from dataclasses import dataclass


class Effect:
    """Base class of the side effects that a state machine requests from its task."""

    __slots__ = ()


@dataclass(frozen=True, slots=True)
class Send(Effect):
    """Send a message to another instance.

    Parameters
    ----------
    destination : str
        Instance that receives the message.
    message : object
        Instance of a registered message class.
    """

    destination: str
    message: object
