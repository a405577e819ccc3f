import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Random } from "@knapweedwood/core.random/random";
import { request } from "undici";

const CONCURRENCY = 8;
const MAX_ATTEMPTS = 12;
const RETRY_DELAY_MS = 400;
const TIMEOUT_MS = 15_000;

interface KeyedOutcome {
    marker: string;
    outcome: "answered" | "not-run" | "unknown";
    attempts: number;
}

/** Sends calls with an idempotency key. Resends each to a random entry until it is answered, at most 12 attempts. */
export class KeyedCallers {
    /** Final outcome of each call, shape [calls]. */
    readonly outcomes: KeyedOutcome[] = [];
    private readonly opts: { entryUrls: string[]; key: string; clock: Clock; random: Random; meanIntervalMs: number; };
    private nextIndex = 0;

    constructor(opts: KeyedCallers["opts"]) {
        this.opts = opts;
    }

    /** Sends `count` calls from eight concurrent workers. */
    async run(count: number): Promise<void> {
        await Promise.all(Array.from({ length: CONCURRENCY }, () => this.runWorker(count)));
    }

    private async runWorker(count: number): Promise<void> {
        while (this.nextIndex < count) {
            const marker = `receipt-${this.nextIndex++}`;
            await this.callUntilAnswered(marker);
            await sleep(this.opts.clock, this.opts.meanIntervalMs * CONCURRENCY * this.opts.random.next() * 2);
        }
    }

    private async callUntilAnswered(marker: string): Promise<void> {
        let outcome: KeyedOutcome["outcome"] = "unknown";
        let attempts = 0;
        // An attempt without a response leaves the outcome unknown, even if a later attempt is rejected as not run.
        let isUncertain = false;
        while (attempts < MAX_ATTEMPTS && outcome !== "answered") {
            attempts += 1;
            outcome = await this.call(marker);
            isUncertain ||= outcome === "unknown";
            if (outcome !== "answered") {
                await sleep(this.opts.clock, RETRY_DELAY_MS);
            }
        }
        this.outcomes.push({ marker, outcome: outcome === "not-run" && isUncertain ? "unknown" : outcome, attempts });
    }

    private async call(marker: string): Promise<KeyedOutcome["outcome"]> {
        const { entryUrls, key, random } = this.opts;
        try {
            const response = await request(
                `${entryUrls[random.nextInteger(entryUrls.length)]}/services/ledger/receipts`,
                {
                    method: "POST",
                    headers: {
                        authorization: `Bearer ${key}`,
                        "content-type": "application/json",
                        "idempotency-key": marker,
                        "x-marker": marker,
                    },
                    body: JSON.stringify({ marker }),
                    headersTimeout: TIMEOUT_MS,
                    bodyTimeout: TIMEOUT_MS,
                },
            );
            await response.body.text();
            const reported = response.headers["x-knapweed-outcome"];
            return reported === "answered" || reported === "not-run" ? reported : "unknown";
        }
        catch (error) {
            return (error as { code?: string; }).code === "ECONNREFUSED" ? "not-run" : "unknown";
        }
    }
}
