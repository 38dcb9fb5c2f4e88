"""Orders from the controller to one emulated engine."""

from dataclasses import dataclass, field

ORDER_TARGETS = {"load_model": "model", "load_adapter": "adapter", "load_version": "version"}
CHANGE_ROLE = "change_role"


@dataclass(slots=True)
class OrderState:
    """Loaded models, adapters and versions of an engine, and the orders that it accepted.

    Parameters
    ----------
    models, adapters, versions : list of str
        Names of the loaded items.
    role : str
        Current role.
    enforces_fencing : bool
        Whether an order is refused if its fencing number is below the highest one seen.
    highest_fencing_number : int
        Highest fencing number of an accepted order.
    accepted : dict of str to dict
        Accepted orders by `order_id`.
    """

    models: list[str]
    adapters: list[str] = field(default_factory=list)
    versions: list[str] = field(default_factory=list)
    role: str = "general"
    enforces_fencing: bool = True
    highest_fencing_number: int = 0
    accepted: dict[str, dict[str, object]] = field(default_factory=dict)

    def find_refusal(self, order: dict[str, object]) -> str | None:
        """Return why an order is refused, or ``None`` if it is valid."""
        arguments = order.get("arguments")
        number = order.get("fencing_number")
        if not isinstance(order.get("order_id"), str) or not isinstance(number, int):
            return "invalid_order"
        target = (
            "role" if order.get("kind") == CHANGE_ROLE else ORDER_TARGETS.get(order.get("kind"))
        )
        if target is None or not isinstance(arguments, dict):
            return "invalid_order"
        if not isinstance(arguments.get(target), str):
            return "invalid_order"
        if self.enforces_fencing and number < self.highest_fencing_number:
            return "old_fencing_number"
        return None

    def accept(self, order: dict[str, object]) -> bool:
        """Record a valid order; return whether its id is new."""
        number = order["fencing_number"]
        self.highest_fencing_number = max(self.highest_fencing_number, number)
        is_new = order["order_id"] not in self.accepted
        self.accepted.setdefault(order["order_id"], order)
        return is_new

    def apply(self, order: dict[str, object]) -> None:
        """Apply an accepted order to the role or the loaded items."""
        arguments = order["arguments"]
        if order["kind"] == CHANGE_ROLE:
            self.role = arguments["role"]
            return
        target = ORDER_TARGETS[order["kind"]]
        loaded = getattr(self, f"{target}s")
        if arguments[target] not in loaded:
            loaded.append(arguments[target])

    def describe(self) -> dict[str, object]:
        """Return the response body of ``GET /v1/orders``."""
        return {
            "models": self.models,
            "adapters": self.adapters,
            "versions": self.versions,
            "role": self.role,
            "highest_fencing_number": self.highest_fencing_number,
            "orders": list(self.accepted.values()),
        }
