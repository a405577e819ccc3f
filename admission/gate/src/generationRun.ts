import type { Clock } from "@knapweedwood/core.clock/clock";
import { CompletionAssembler } from "@knapweedwood/engines.model-engine/completionAssembler";
import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { ResumePoint } from "@knapweedwood/engines.model-engine/resumePoint";

/** Assembles the stream of one batch generation into a response. */
export class GenerationRun {
    private readonly assembler: CompletionAssembler;
    private isTextOnly: boolean;

    constructor(opts: { request: GenerateRequest; answerId: string; clock: Clock; }) {
        this.assembler = new CompletionAssembler({ ...opts, createdAtMs: opts.clock.nowMs() });
        this.isTextOnly = Number(opts.request.body.n ?? 1) === 1;
    }

    add(event: GenerateEvent): void {
        this.assembler.add(event);
        this.isTextOnly &&= event.kind !== "chunk" || event.choice === undefined;
    }

    /** Returns the complete response. */
    response(): JsonObject {
        return this.assembler.response();
    }

    /** Returns the point from which the generation can resume; undefined if no output can be kept. */
    resumePoint(): ResumePoint | undefined {
        const { produced } = this.assembler;
        return this.isTextOnly && produced.tokenCount > 0 ? produced : undefined;
    }

    get tokenCount(): number {
        return this.assembler.produced.tokenCount;
    }
}
