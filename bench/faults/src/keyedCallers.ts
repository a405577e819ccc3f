import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Random } from "@knapweedwood/core.random/random";
import { request } from "undici";

const CONCURRENCY = 8;
const MAX_ATTEMPTS = 12;
const RETRY_MS = 400;
const TIMEOUT_MS = 15_000;

interface KeyedOutcome {
    marker: string;
    outcome: "answered" | "not-run" | "unknown";
    attempts: number;
}

/** Sends calls with an idempotency key and resends each, to any entry, until it is answered or patience ends. */
export class KeyedCallers {
    readonly outcomes: KeyedOutcome[] = [];
    private readonly opts: { entryUrls: string[]; key: string; clock: Clock; random: Random; paceMs: number; };
    private next = 0;

    constructor(opts: KeyedCallers["opts"]) {
        this.opts = opts;
    }

    async run(count: number): Promise<void> {
        await Promise.all(Array.from({ length: CONCURRENCY }, () => this.work(count)));
    }

    private async work(count: number): Promise<void> {
        while (this.next < count) {
            const marker = `receipt-${this.next++}`;
            await this.callUntilAnswered(marker);
            await sleep(this.opts.clock, this.opts.paceMs * CONCURRENCY * this.opts.random.next() * 2);
        }
    }

    private async callUntilAnswered(marker: string): Promise<void> {
        let outcome: KeyedOutcome["outcome"] = "unknown";
        let attempts = 0;
        // A first attempt without an answer leaves the outcome open, whatever a later refusal says of itself.
        let isOpen = false;
        while (attempts < MAX_ATTEMPTS && outcome !== "answered") {
            attempts += 1;
            outcome = await this.call(marker);
            isOpen ||= outcome === "unknown";
            if (outcome !== "answered") {
                await sleep(this.opts.clock, RETRY_MS);
            }
        }
        this.outcomes.push({ marker, outcome: outcome === "not-run" && isOpen ? "unknown" : outcome, attempts });
    }

    private async call(marker: string): Promise<KeyedOutcome["outcome"]> {
        const { entryUrls, key, random } = this.opts;
        try {
            const answer = await request(
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
            await answer.body.text();
            const said = answer.headers["x-knapweed-outcome"];
            return said === "answered" || said === "not-run" ? said : "unknown";
        }
        catch (error) {
            return (error as { code?: string; }).code === "ECONNREFUSED" ? "not-run" : "unknown";
        }
    }
}
