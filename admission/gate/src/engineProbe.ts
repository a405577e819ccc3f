import type { Clock } from "@knapweedwood/core.clock/clock";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { ModelEngine } from "@knapweedwood/engines.model-engine/modelEngine";

const PROMPT = "ok";
const TIMEOUT_MS = 5000;
const FIRST_SERVER_ERROR = 500;

/** Checks with a one-token request whether an engine still serves a model while items keep failing on it. */
export class EngineProbe {
    private readonly engine: ModelEngine;
    private readonly clock: Clock;

    constructor(opts: { engine: ModelEngine; clock: Clock; }) {
        this.engine = opts.engine;
        this.clock = opts.clock;
    }

    /** Returns whether the engine responds to a harmless request. Rejections with a status below 500 count too. */
    async isServing(model: unknown): Promise<boolean> {
        const timeout = new AbortController();
        const timer = this.clock.setTimer(TIMEOUT_MS, () => timeout.abort());
        try {
            const body = { model, prompt: PROMPT, max_tokens: 1 };
            const events = this.engine.generate({ endpoint: "/v1/completions", body }, { signal: timeout.signal });
            let hasFinished = false;
            for await (const event of events) {
                hasFinished ||= event.kind === "finish";
            }
            return hasFinished;
        }
        catch (thrown) {
            const { outcome, statusCode } = toKnapweedError(thrown);
            return outcome === "answered" && statusCode !== undefined && statusCode < FIRST_SERVER_ERROR;
        }
        finally {
            timer.cancel();
        }
    }
}
