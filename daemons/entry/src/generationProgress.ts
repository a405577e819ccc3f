import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";

/** What a generation has produced so far, so that it can go on at another upstream. */
export class GenerationProgress {
    private readonly originalRequest: GenerateRequest;
    private text = "";
    private tokenCount = 0;
    private hasOnlyText = true;

    constructor(remainingRequest: GenerateRequest) {
        this.originalRequest = remainingRequest;
    }

    /** Whether the rest can be generated elsewhere: not where choices carried more than text. */
    get isResumable(): boolean {
        return this.hasOnlyText;
    }

    record(event: GenerateEvent): void {
        if (event.kind === "finish") {
            return;
        }
        this.text += event.text;
        this.tokenCount += event.tokenCount;
        this.hasOnlyText &&= event.choice === undefined;
    }

    /** The request for what is left. */
    request(): GenerateRequest {
        return this.tokenCount === 0
            ? this.originalRequest
            : { ...this.originalRequest, resumeFrom: { text: this.text, tokenCount: this.tokenCount } };
    }
}
