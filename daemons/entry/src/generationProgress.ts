import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";

/** Tracks the output of a generation, so that it can be resumed at another upstream. */
export class GenerationProgress {
    private readonly originalRequest: GenerateRequest;
    private text = "";
    private tokenCount = 0;
    private hasOnlyText = true;

    constructor(originalRequest: GenerateRequest) {
        this.originalRequest = originalRequest;
    }

    /** Whether the generation can be resumed. It can't if a choice contained more than text. */
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

    /** Returns the request for the remaining output; the original request if no tokens were produced. */
    request(): GenerateRequest {
        return this.tokenCount === 0
            ? this.originalRequest
            : { ...this.originalRequest, resumeFrom: { text: this.text, tokenCount: this.tokenCount } };
    }
}
