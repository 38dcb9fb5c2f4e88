"""Validated JSON settings of one instance."""

from laburnumrock.settings._instance import (
    InstanceSettings,
    ListenSettings,
    OrderSettings,
    PeerSettings,
    StatsdSettings,
    TimingSettings,
)
from laburnumrock.settings._load import describe_validation_error, load_settings, read_key

__all__ = [
    "InstanceSettings",
    "ListenSettings",
    "OrderSettings",
    "PeerSettings",
    "StatsdSettings",
    "TimingSettings",
    "describe_validation_error",
    "load_settings",
    "read_key",
]
