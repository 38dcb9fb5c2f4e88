"""Outputs of the state machines."""

from dataclasses import dataclass


class Effect:
    """Base class of everything that a state machine asks its task to do."""

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
