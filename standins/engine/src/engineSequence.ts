import { textHash } from "@knapweedwood/core.hashing/textHash";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import { promptTextOf } from "@knapweedwood/engines.model-engine/promptTextOf";
import type { Usage } from "@knapweedwood/engines.model-engine/usage";
import { countTokens } from "./countTokens.js";
import type { SequenceSink } from "./sequenceSink.js";
import { tokenTargetOf } from "./tokenTargetOf.js";
import { tokenText } from "./tokenText.js";

/** One request on its way through a stand-in engine. */
export class EngineSequence {
    readonly sink: SequenceSink;
    readonly prompt: string;
    /** Whether the request says that it is batch work, for the totals only. */
    readonly isBatch: boolean;
    readonly promptTokens: number;
    readonly finishReason: "length" | "stop";
    readonly tokenTarget: number;
    cachedTokens = 0;
    prefillTokensLeft = 0;
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

    /** The KV-cache memory that the sequence needs at most. */
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

    /** Prompt and what was produced so far: what the KV cache of the sequence covers. */
    coveredText(): string {
        return this.prompt
            + Array.from({ length: this.tokenCount }, (_, index) => tokenText(this.promptHash, index)).join("");
    }

    /** Sets the prefill that is due when `cachedTokens` leading tokens are held already. */
    beginPrefill(cachedTokens: number): void {
        this.cachedTokens = cachedTokens;
        this.prefillTokensLeft = Math.max(1, this.promptTokens + this.tokenCount - cachedTokens);
    }

    produceToken(): void {
        this.sink.token(tokenText(this.promptHash, this.tokenCount));
        this.tokenCount += 1;
    }
}
