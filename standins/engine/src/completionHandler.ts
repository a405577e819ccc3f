import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Random } from "@knapweedwood/core.random/random";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import { promptTextOf } from "@knapweedwood/engines.model-engine/promptTextOf";
import type { ResumePoint } from "@knapweedwood/engines.model-engine/resumePoint";
import type { IncomingMessage, ServerResponse } from "node:http";
import { CompletionWriter } from "./completionWriter.js";
import type { EngineCore } from "./engineCore.js";
import type { EngineFaults } from "./engineFaults.js";
import type { EngineSequence } from "./engineSequence.js";
import { poisonOf } from "./poisonOf.js";
import { RequestCounter } from "./requestCounter.js";
import { sendError } from "./sendError.js";

const MS_PER_SECOND = 1000;
/** Number of most recent requests whose KV cache can be exported. */
const EXPORTABLE_REQUESTS = 256;

/** Handles the completion requests of a stand-in engine. */
export class CompletionHandler {
    private readonly clock: Clock;
    private readonly random: Random;
    private readonly core: EngineCore;
    private readonly requestCounter: RequestCounter;
    private readonly faults: EngineFaults;
    private readonly readyNames: () => string[];
    private readonly sequences = new Map<string, EngineSequence>();
    private requestNumber = 0;

    constructor(opts: {
        clock: Clock;
        random: Random;
        core: EngineCore;
        requestCounter: RequestCounter;
        faults: EngineFaults;
        readyNames: () => string[];
    }) {
        this.clock = opts.clock;
        this.random = opts.random;
        this.core = opts.core;
        this.requestCounter = opts.requestCounter;
        this.faults = opts.faults;
        this.readyNames = opts.readyNames;
    }

    /** Runs a request, or fails it if its model isn't loaded or a fault applies to it. */
    handle(
        endpoint: GenerateRequest["endpoint"],
        body: JsonObject,
        exchange: { request: IncomingMessage; response: ServerResponse; },
    ): void {
        const { request, response } = exchange;
        if (!this.readyNames().includes(String(body.model))) {
            sendError(response, 404, "model_not_found", `The model '${String(body.model)}' is not loaded`);
            return;
        }
        const marker = RequestCounter.markerOf(body);
        if (this.failIfFaulty(marker, body, response)) {
            return;
        }
        this.requestNumber += 1;
        const id = String(request.headers["x-request-id"] ?? `request-${this.requestNumber}`);
        const generateRequest = { endpoint, body, resumeFrom: body.knapweed_resume as ResumePoint | undefined };
        this.run({ generateRequest, response, marker, id });
    }

    /** Returns the text that the KV cache of a request covers, or undefined if the request is unknown. */
    coveredText(requestId: string): string | undefined {
        return this.sequences.get(requestId)?.coveredText();
    }

    private run(
        opts: { generateRequest: GenerateRequest; response: ServerResponse; marker: string; id: string; },
    ): void {
        let isFinished = false;
        this.requestCounter.count(opts.marker, "started");
        const stream = new CompletionWriter({
            response: opts.response,
            request: opts.generateRequest,
            id: opts.id,
            createdAtSeconds: Math.floor(this.clock.nowMs() / MS_PER_SECOND),
            onFinish: () => {
                isFinished = true;
                this.requestCounter.count(opts.marker, "finished");
            },
        });
        const sequence = this.core.submit(opts.generateRequest, stream);
        this.keepForExport(opts.id, sequence);
        opts.response.on("close", () => {
            if (!isFinished) {
                this.core.cancel(sequence);
                this.requestCounter.count(opts.marker, "cancelled");
            }
        });
    }

    /** Fails the request if its prompt requests a fault or the error share selects it. Returns whether it failed. */
    private failIfFaulty(marker: string, body: JsonObject, response: ServerResponse): boolean {
        const poison = poisonOf(promptTextOf(body));
        if (poison === "malformed") {
            sendError(response, 400, "invalid_prompt", "The prompt is malformed");
            return true;
        }
        if (poison === "crash") {
            this.requestCounter.count(marker, "started");
            response.destroy();
            return true;
        }
        if (poison === "never-completes" || this.random.next() < this.faults.errorShare) {
            this.requestCounter.count(marker, "started");
            sendError(response, 500, "internal_error", "The request can't be completed");
            return true;
        }
        return false;
    }

    private keepForExport(id: string, sequence: EngineSequence): void {
        this.sequences.set(id, sequence);
        const oldest = this.sequences.keys().next().value;
        if (this.sequences.size > EXPORTABLE_REQUESTS && oldest !== undefined) {
            this.sequences.delete(oldest);
        }
    }
}
