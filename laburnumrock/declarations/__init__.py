"""Declarations of operators: models, replicated store, copies at instances, folders and plans."""

from laburnumrock.declarations._effects import HoldsChanged, RequestConfirmedRead, RevisionApplied
from laburnumrock.declarations._holds import HoldRegistry
from laburnumrock.declarations._in_force import RevisionTracker
from laburnumrock.declarations._messages import (
    ApplyChange,
    ChangeAnswer,
    DeclarationFetch,
    DeclarationStep,
    DeclarationUpdate,
    EnterHold,
    HistoryAnswer,
    HistoryEntry,
    HistoryFetch,
    Hold,
    HoldExchange,
    InForceAnswer,
    InForceQuery,
)
from laburnumrock.declarations._models import (
    Change,
    Deadlines,
    Declaration,
    InService,
    Limits,
    PutChange,
    RemoveChange,
    Service,
    ServiceKind,
    ServicePath,
    ServiceState,
    Template,
)
from laburnumrock.declarations._plan import Difference, diff_sets, plan_changes, read_folder
from laburnumrock.declarations._set import (
    DeclarationSet,
    changes_to_plain,
    describe_declaration_error,
    parse_changes,
)
from laburnumrock.declarations._store import DeclarationStore
from laburnumrock.declarations._sync import DeclarationSync
from laburnumrock.declarations._view import DeclarationView

__all__ = [
    "ApplyChange",
    "Change",
    "ChangeAnswer",
    "Deadlines",
    "Declaration",
    "DeclarationFetch",
    "DeclarationSet",
    "DeclarationStep",
    "DeclarationStore",
    "DeclarationSync",
    "DeclarationUpdate",
    "DeclarationView",
    "Difference",
    "EnterHold",
    "HistoryAnswer",
    "HistoryEntry",
    "HistoryFetch",
    "Hold",
    "HoldRegistry",
    "HoldExchange",
    "HoldsChanged",
    "InForceAnswer",
    "InForceQuery",
    "InService",
    "Limits",
    "PutChange",
    "RequestConfirmedRead",
    "RemoveChange",
    "RevisionApplied",
    "RevisionTracker",
    "Service",
    "ServiceKind",
    "ServicePath",
    "ServiceState",
    "Template",
    "changes_to_plain",
    "describe_declaration_error",
    "diff_sets",
    "parse_changes",
    "plan_changes",
    "read_folder",
]
