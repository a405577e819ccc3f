import type { Usage } from "@knapweedwood/engines.model-engine/usage";

/** Receives the output of a sequence. */
export interface SequenceSink {
    token(text: string): void;
    finish(finishReason: string, usage: Usage): void;
}
