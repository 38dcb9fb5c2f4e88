"""Classification of requests by prompt length."""

from enum import StrEnum

SHORT_PROMPT_TOKENS = 8_000
MEDIUM_PROMPT_TOKENS = 100_000


class LengthClass(StrEnum):
    """Length class of a request; `SPANNING` requests exceed the KV cache of any single engine."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"
    SPANNING = "spanning"


def classify_length(prompt_tokens: int, output_tokens: int, engine_tokens: int) -> LengthClass:
    """Return the length class of a request.

    Parameters
    ----------
    prompt_tokens, output_tokens : int
        Size of the request in tokens.
    engine_tokens : int
        Largest KV cache of any engine in tokens; 0 if none is known.
    """
    if engine_tokens and prompt_tokens + output_tokens > engine_tokens:
        return LengthClass.SPANNING
    if prompt_tokens <= SHORT_PROMPT_TOKENS:
        return LengthClass.SHORT
    if prompt_tokens <= MEDIUM_PROMPT_TOKENS:
        return LengthClass.MEDIUM
    return LengthClass.LONG
