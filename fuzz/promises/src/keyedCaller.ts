import { sleep } from "@knapweedwood/core.clock/sleep";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { TeamId } from "@knapweedwood/core.ids/teamId";
import type { Fleet } from "./fleet.js";
import type { KeyedCall } from "./keyedCall.js";
import type { Oracle } from "./oracle.js";
import { promiseViolation } from "./promiseViolation.js";
import type { SimulatedEntry } from "./simulatedEntry.js";

/**
 * Makes calls with an idempotency key as an entry does for a caller.
 *
 * It claims the key, runs the call once and records the response.
 */
export class KeyedCaller {
    private readonly fleet: Fleet;
    private readonly oracle: Oracle;

    constructor(opts: { fleet: Fleet; oracle: Oracle; }) {
        this.fleet = opts.fleet;
        this.oracle = opts.oracle;
    }

    /**
     * Makes one attempt and gives its result to the oracle, unless the entry is dead by then.
     *
     * The call runs for `runMs` milliseconds. With `loseAnswer`, its response is lost and nothing is recorded.
     */
    async call(entry: SimulatedEntry, opts: { key: string; runMs: number; loseAnswer: boolean; }): Promise<void> {
        const call = await this.attempt(entry, opts);
        if (call === undefined || entry.lifecycle.dead) {
            return;
        }
        this.oracle.keyedCalls.push(call);
        this.checkResponse(call);
        if (call.outcome === "unknown" && this.fleet.platform.options.retriesUnknown) {
            this.execute(opts.key);
        }
    }

    private async attempt(
        entry: SimulatedEntry,
        opts: { key: string; runMs: number; loseAnswer: boolean; },
    ): Promise<KeyedCall | undefined> {
        const { key } = opts;
        if (this.fleet.platform.options.skipsClaim) {
            this.execute(key);
        }
        try {
            const claim = await entry.claims.claim({
                teamId: "team-a" as TeamId,
                service: "ledger" as ServiceName,
                idempotencyKey: key as IdempotencyKey,
                requestDigest: key,
                timeoutMs: 20_000,
            });
            await entry.lifecycle.whenRunning();
            switch (claim.kind) {
                case "granted":
                    return await this.run(entry, { ...opts, token: claim.token });
                case "recorded":
                    return { key, outcome: "answered", body: Buffer.from(claim.answer.body).toString("utf8") };
                case "conflict":
                    this.oracle.recordViolation(promiseViolation("a resend is not a conflict", { key }));
                    return undefined;
                default:
                    return { key, outcome: claim.kind, body: undefined };
            }
        }
        catch (error) {
            const outcome = error instanceof KnapweedError ? error.outcome : undefined;
            return { key, outcome: outcome === "not-run" ? "not-run" : "unknown", body: undefined };
        }
    }

    private async run(
        entry: SimulatedEntry,
        opts: {
            key: string;
            runMs: number;
            loseAnswer: boolean;
            token: Parameters<SimulatedEntry["claims"]["record"]>[0];
        },
    ): Promise<KeyedCall> {
        const { key } = opts;
        const body = this.execute(key);
        await sleep(this.fleet.clock, opts.runMs);
        await entry.lifecycle.whenRunning();
        if (opts.loseAnswer) {
            return { key, outcome: "unknown", body: undefined };
        }
        await entry.claims.record(opts.token, { statusCode: 200, headers: {}, body: Buffer.from(body) });
        return { key, outcome: "answered", body };
    }

    /** Runs the call at the upstream. @returns a response that contains the number of the run */
    private execute(key: string): string {
        const { upstreams } = this.fleet.platform;
        const call = `keyed/${key}`;
        upstreams.add({ service: "ledger", call, repeatable: false, atMs: this.fleet.clock.nowMs() });
        return `receipt ${key} run ${upstreams.countOf(call)}`;
    }

    private checkResponse(call: KeyedCall): void {
        if (call.outcome === "answered" && call.body !== `receipt ${call.key} run 1`) {
            this.oracle.recordViolation(promiseViolation("a resend gets the recorded answer", call));
        }
    }
}
