"""Validated settings of an instance, read from JSON."""

from laburnumrock.settings._instance import (
    InstanceSettings,
    ListenSettings,
    OrderSettings,
    PeerSettings,
    StatsdSettings,
    TimingSettings,
)
from laburnumrock.settings._load import (
    InstanceKeys,
    describe_validation_error,
    load_settings,
    read_key,
    read_keys,
)

__all__ = [
    "InstanceKeys",
    "InstanceSettings",
    "ListenSettings",
    "OrderSettings",
    "PeerSettings",
    "StatsdSettings",
    "TimingSettings",
    "describe_validation_error",
    "load_settings",
    "read_key",
    "read_keys",
]
