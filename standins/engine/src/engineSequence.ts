import { textHash } from "@knapweedwood/core.hashing/textHash";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import { promptTextOf } from "@knapweedwood/engines.model-engine/promptTextOf";
import type { Usage } from "@knapweedwood/engines.model-engine/usage";
import { countTokens } from "./countTokens.js";
import type { SequenceSink } from "./sequenceSink.js";
import { tokenTargetOf } from "./tokenTargetOf.js";
import { tokenText } from "./tokenText.js";

/** A request that is queued or running in a stand-in engine. */
export class EngineSequence {
    readonly sink: SequenceSink;
    readonly prompt: string;
    /** Whether the `user` of the request is `batch`. Only the totals depend on it. */
    readonly isBatch: boolean;
    readonly promptTokens: number;
    readonly finishReason: "length" | "stop";
    /** Number of output tokens at which the sequence is finished. */
    readonly tokenTarget: number;
    cachedTokens = 0;
    prefillTokensLeft = 0;
    /** Number of output tokens so far, including those before the resume point. */
    tokenCount: number;
    isCancelled = false;
    private readonly promptHash: number;

    constructor(request: GenerateRequest, sink: SequenceSink) {
        this.sink = sink;
        this.isBatch = request.body.user === "batch";
        this.prompt = promptTextOf(request.body);
        this.promptHash = textHash(this.prompt);
        this.promptTokens = countTokens(this.prompt);
        const target = tokenTargetOf(request.body);
        this.finishReason = target.finishReason;
        this.tokenTarget = target.tokenCount;
        this.tokenCount = request.resumeFrom?.tokenCount ?? 0;
    }

    /** Largest KV-cache size that the sequence needs, in tokens. */
    get kvTokens(): number {
        return this.promptTokens + this.tokenTarget;
    }

    get isFinished(): boolean {
        return this.tokenCount >= this.tokenTarget;
    }

    get usage(): Usage {
        return {
            promptTokens: this.promptTokens,
            completionTokens: this.tokenCount,
            cachedTokens: Math.min(this.cachedTokens, this.promptTokens),
        };
    }

    /** Returns the text that the KV cache of the sequence covers: the prompt and the output so far. */
    coveredText(): string {
        return this.prompt
            + Array.from({ length: this.tokenCount }, (_, index) => tokenText(this.promptHash, index)).join("");
    }

    /** Sets the number of tokens to prefill if the prefix cache contains the first `cachedTokens` tokens. */
    beginPrefill(cachedTokens: number): void {
        this.cachedTokens = cachedTokens;
        this.prefillTokensLeft = Math.max(1, this.promptTokens + this.tokenCount - cachedTokens);
    }

    /** Sends the next token to the sink. */
    produceToken(): void {
        this.sink.token(tokenText(this.promptHash, this.tokenCount));
        this.tokenCount += 1;
    }
}
