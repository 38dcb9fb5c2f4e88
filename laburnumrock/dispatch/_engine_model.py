"""Cost model of a model engine."""

from laburnumrock.routing import EngineParameters

MS_PER_S = 1000.0
PAIRS_PER_MILLION = 1e6


class EngineModel:
    """Predicts prefill and decode times on an engine from its published parameters.

    Parameters
    ----------
    parameters : EngineParameters
        Parameters that are declared with the service.

    Notes
    -----
    An engine works in passes. While any request decodes, a pass has `stride` token steps, and each
    step prefills up to `chunk_tokens` of the pending prompts. So a long prompt delays the next
    events of all streams on its engine, and a new prompt waits for the current pass to end.
    """

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.ms_per_token = MS_PER_S / parameters.prefill_tokens_per_s
        self.ms_per_pair = parameters.attention_ms_per_million_pairs / PAIRS_PER_MILLION

    def prefill_ms(self, first: float, last: float) -> float:
        """Time to prefill the tokens from `first` to `last` of one prompt.

        Parameters
        ----------
        first, last : float
            Positions in the prompt, in tokens.
        """
        pairs = (last * last - first * first) / 2.0
        return (last - first) * self.ms_per_token + pairs * self.ms_per_pair

    def decode_pass_ms(self, decoding_requests: int, context_tokens: float) -> float:
        """Duration of a pass without prefill.

        Parameters
        ----------
        decoding_requests : int
            Number of requests that decode.
        context_tokens : float
            Sum of their prompt and generated tokens.
        """
        if decoding_requests == 0:
            return 0.0
        parameters = self.parameters
        step_ms = parameters.step_ms + decoding_requests * parameters.per_sequence_ms
        step_ms += context_tokens / 1000.0 * parameters.context_ms_per_1k
        return parameters.stride * step_ms

    @property
    def pass_tokens(self) -> int:
        """Maximum number of prompt tokens that one pass prefills."""
        return self.parameters.stride * self.parameters.chunk_tokens

    def peak_prefill_ms(self, prompt_tokens: float) -> float:
        """Longest time that a prompt adds to one pass; the last tokens cost the most attention."""
        return self.prefill_ms(max(0.0, prompt_tokens - self.pass_tokens), prompt_tokens)

    def part_peak_prefill_ms(self, prompt_tokens: float, engine_count: int) -> float:
        """Longest time that an equal part of a prompt adds to one pass of its engine."""
        part_ms = self.prefill_ms(0, prompt_tokens) / engine_count
        return part_ms * min(1.0, self.pass_tokens * engine_count / max(prompt_tokens, 1.0))

    def combined_peak_prefill_ms(self, peak_prefills_ms: list[float]) -> float:
        """Longest time that several pending prompts add to one pass together."""
        if not peak_prefills_ms:
            return 0.0
        full_ms = self.pass_tokens * self.ms_per_token
        return max(max(peak_prefills_ms), min(sum(peak_prefills_ms), full_ms))

    def decode_ms(self, output_tokens: float, context_tokens: float) -> float:
        """Time to decode an answer on an otherwise idle engine."""
        passes = output_tokens / self.parameters.stride + 1.0
        return passes * self.decode_pass_ms(1, context_tokens)
