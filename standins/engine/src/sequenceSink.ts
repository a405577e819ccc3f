import type { Usage } from "@knapweedwood/engines.model-engine/usage";

/** Receives the output of a sequence. */
export interface SequenceSink {
    /** Receives the text of the next token. */
    token(text: string): void;
    /** Receives the end of the output. `finishReason` is `length` or `stop`. */
    finish(finishReason: string, usage: Usage): void;
}
