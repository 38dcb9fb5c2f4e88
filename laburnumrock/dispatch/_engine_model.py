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
        self.ms_per_token = MS_PER_S / parameters.read_tokens_per_s
        self.ms_per_pair = parameters.pairs_ms_per_million / PAIRS_PER_MILLION

    def read_ms(self, first: float, last: float) -> float:
        """Time to read the tokens from `first` to `last` of one prompt.

        Parameters
        ----------
        first, last : float
            Positions in the prompt, in tokens.
        """
        pairs = (last * last - first * first) / 2.0
        return (last - first) * self.ms_per_token + pairs * self.ms_per_pair

    def write_pass_ms(self, writers: int, context_tokens: float) -> float:
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

    def pass_read_limit_ms(self, position: float) -> float:
        """Longest time that reading adds to one pass, for a prompt read up to `position`."""
        tokens = self.parameters.stride * self.parameters.chunk_tokens
        return self.read_ms(position, position + tokens)

    def write_ms(self, output_tokens: float, context_tokens: float) -> float:
        """Time to write an answer on an engine that does nothing else."""
        passes = output_tokens / self.parameters.stride + 1.0
        return passes * self.write_pass_ms(1, context_tokens)
