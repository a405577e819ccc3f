import type { Clock } from "@knapweedwood/core.clock/clock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { CacheEvent } from "@knapweedwood/engines.model-engine/cacheEvent";
import type { EngineLoad } from "@knapweedwood/engines.model-engine/engineLoad";
import type { EngineState } from "@knapweedwood/engines.model-engine/engineState";
import type { GenerateEvent } from "@knapweedwood/engines.model-engine/generateEvent";
import type { GenerateRequest } from "@knapweedwood/engines.model-engine/generateRequest";
import type { JsonObject } from "@knapweedwood/engines.model-engine/jsonObject";
import type { ModelEngine } from "@knapweedwood/engines.model-engine/modelEngine";
import { promptTextOf } from "@knapweedwood/engines.model-engine/promptTextOf";
import { defaultStepModel } from "./defaultStepModel.js";
import { embeddingsOf } from "./embeddingsOf.js";
import { EngineCore } from "./engineCore.js";
import { poisonOf } from "./poisonOf.js";
import type { StepModel } from "./stepModel.js";

/** An in-process stand-in engine, for tests and simulations with a manual clock. */
export class InMemoryEngine implements ModelEngine {
    readonly core: EngineCore;

    constructor(opts: { clock: Clock; stepModel?: StepModel; }) {
        this.core = new EngineCore({ clock: opts.clock, stepModel: opts.stepModel ?? defaultStepModel });
    }

    async *generate(request: GenerateRequest, opts: { signal: AbortSignal; }): AsyncGenerator<GenerateEvent> {
        throwIfPoisoned(request);
        const events: GenerateEvent[] = [];
        let notifyReader = () => {};
        const publish = (event: GenerateEvent) => {
            events.push(event);
            notifyReader();
        };
        const sequence = this.core.submit(request, {
            token: text => publish({ kind: "chunk", text, tokenCount: 1 }),
            finish: (finishReason, usage) => publish({ kind: "finish", finishReason, usage }),
        });
        const onAbort = () => notifyReader();
        opts.signal.addEventListener("abort", onAbort);
        try {
            while (!opts.signal.aborted) {
                const event = events.shift();
                if (event === undefined) {
                    await new Promise<void>(resolve => {
                        notifyReader = resolve;
                    });
                    continue;
                }
                yield event;
                if (event.kind === "finish") {
                    return;
                }
            }
            throw new KnapweedError("CANCELLED", "The request was cancelled", { outcome: "unknown" });
        }
        finally {
            opts.signal.removeEventListener("abort", onAbort);
            this.core.cancel(sequence);
        }
    }

    embed(body: JsonObject): Promise<JsonObject> {
        return Promise.resolve(embeddingsOf(body));
    }

    load(): Promise<EngineLoad> {
        return Promise.resolve(this.core.reportedLoad());
    }

    state(): Promise<EngineState> {
        return Promise.resolve({ models: [], adapters: [], role: "any", incarnation: 1 });
    }

    order(): Promise<void> {
        return Promise.resolve();
    }

    async *cacheEvents(): AsyncGenerator<CacheEvent> {}

    exportCache(): Promise<Uint8Array> {
        return Promise.resolve(new Uint8Array());
    }

    importCache(): Promise<void> {
        return Promise.resolve();
    }
}

function throwIfPoisoned(request: GenerateRequest): void {
    switch (poisonOf(promptTextOf(request.body))) {
        case "never-completes":
            throw new KnapweedError("ENGINE_FAILED", "The engine failed because of a fault marker in the prompt", {
                outcome: "unknown",
                statusCode: 500,
            });
        case "crash":
            throw new KnapweedError(
                "ENGINE_CONNECTION_LOST",
                "The connection was lost because of a fault marker in the prompt",
                {
                    outcome: "unknown",
                    statusCode: 502,
                },
            );
        case "malformed":
            throw new KnapweedError("ENGINE_REFUSED", "The prompt is marked as malformed", {
                outcome: "answered",
                statusCode: 400,
            });
        default:
    }
}
