"""Cost of work on a model engine."""

from laburnumrock.routing import EngineParameters

MS_PER_S = 1000.0
PAIRS_PER_MILLION = 1e6


class EngineModel:
    """Predicts times on an engine from its published parameters.

    Parameters
    ----------
    parameters : EngineParameters
        As declared with the service.

    Notes
    -----
    An engine works in passes. While any request writes, a pass has `stride` token steps, and each
    step reads up to `chunk_tokens` of waiting prompts. So a long prompt stretches the pauses of
    all streams on its engine, and a new prompt waits for the pass under way.
    """

    def __init__(self, parameters: EngineParameters) -> None:
        self.parameters = parameters
        self.ms_per_token = MS_PER_S / parameters.prefill_tokens_per_s
        self.ms_per_pair = parameters.attention_ms_per_million_pairs / PAIRS_PER_MILLION

    def prefill_ms(self, first: float, last: float) -> float:
        """Time to read the tokens from `first` to `last` of one prompt.

        Parameters
        ----------
        first, last : float
            Positions in the prompt, in tokens.
        """
        pairs = (last * last - first * first) / 2.0
        return (last - first) * self.ms_per_token + pairs * self.ms_per_pair

    def decode_pass_ms(self, writers: int, context_tokens: float) -> float:
        """Duration of a pass that only writes.

        Parameters
        ----------
        writers : int
            Requests that write.
        context_tokens : float
            Sum of their prompts and answers so far.
        """
        if writers == 0:
            return 0.0
        parameters = self.parameters
        step_ms = parameters.step_ms + writers * parameters.per_sequence_ms
        step_ms += context_tokens / 1000.0 * parameters.context_ms_per_1k
        return parameters.stride * step_ms

    @property
    def pass_tokens(self) -> int:
        """Prompt tokens that one pass reads at most."""
        return self.parameters.stride * self.parameters.chunk_tokens

    def burst_ms(self, prompt_tokens: float) -> float:
        """Longest time that a prompt adds to one pass: its last tokens have the most pairs."""
        return self.prefill_ms(max(0.0, prompt_tokens - self.pass_tokens), prompt_tokens)

    def part_burst_ms(self, prompt_tokens: float, engines: int) -> float:
        """Longest time that an equal part of a prompt adds to one pass of its engine."""
        part_ms = self.prefill_ms(0, prompt_tokens) / engines
        return part_ms * min(1.0, self.pass_tokens * engines / max(prompt_tokens, 1.0))

    def join_bursts_ms(self, bursts_ms: list[float]) -> float:
        """Longest time that several waiting prompts add to one pass."""
        if not bursts_ms:
            return 0.0
        full_ms = self.pass_tokens * self.ms_per_token
        return max(max(bursts_ms), min(sum(bursts_ms), full_ms))

    def write_ms(self, output_tokens: float, context_tokens: float) -> float:
        """Time to write an answer on an engine that does nothing else."""
        passes = output_tokens / self.parameters.stride + 1.0
        return passes * self.decode_pass_ms(1, context_tokens)
