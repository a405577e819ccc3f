import type { Usage } from "@knapweedwood/engines.model-engine/usage";

/** Receives what a sequence produces. */
export interface SequenceSink {
    token(text: string): void;
    finish(finishReason: string, usage: Usage): void;
}
