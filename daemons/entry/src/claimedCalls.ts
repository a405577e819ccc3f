import type { IdempotentCalls } from "@knapweedwood/api.callers/idempotentCalls";
import type { RecordedResponse } from "@knapweedwood/api.callers/recordedResponse";
import type { ClaimService } from "@knapweedwood/batch.claims/claimService";
import type { ClaimToken } from "@knapweedwood/batch.claims/claimToken";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const CONFLICT = 409;
const UNPROCESSABLE = 422;
const COME_BACK_MS = 1000;

/** Runs calls with an idempotency key under a claim: sent at most once, their answer recorded for a resend. */
export class ClaimedCalls implements IdempotentCalls {
    private readonly opts: { claims: ClaimService; logger: Logger; };

    constructor(opts: ClaimedCalls["opts"]) {
        this.opts = opts;
    }

    async run(opts: Parameters<IdempotentCalls["run"]>[0]): Promise<RecordedResponse> {
        const claim = await this.opts.claims.claim({
            teamId: opts.caller.team.teamId,
            service: opts.service,
            idempotencyKey: opts.idempotencyKey as IdempotencyKey,
            requestDigest: opts.requestDigest,
            timeoutMs: opts.timeoutMs,
        });
        switch (claim.kind) {
            case "granted":
                return this.runClaimed(claim.token, opts.run);
            case "recorded":
                return {
                    ...claim.answer,
                    headers: Object.entries(claim.answer.headers).map(([name, value]) => ({ name, value })),
                };
            case "in-progress":
                throw new KnapweedError("CALL_IN_PROGRESS", "The call under this idempotency key is in progress", {
                    statusCode: CONFLICT,
                    outcome: "unknown",
                    retryAfterMs: COME_BACK_MS,
                });
            case "conflict":
                throw new KnapweedError("IDEMPOTENCY_KEY_REUSED", "The idempotency key came with another request", {
                    statusCode: UNPROCESSABLE,
                    outcome: "not-run",
                });
            case "unknown":
                throw new KnapweedError("OUTCOME_UNKNOWN", "The call was begun, and its outcome can't be known", {
                    outcome: "unknown",
                    hint: "Find out at the service itself whether it ran",
                });
        }
    }

    private async runClaimed(token: ClaimToken, run: () => Promise<RecordedResponse>): Promise<RecordedResponse> {
        const answer = await run().catch(async (thrown: unknown) => {
            const error = toKnapweedError(thrown);
            if (error.outcome === "not-run") {
                await this.settle("release", this.opts.claims.release(token));
            }
            throw error;
        });
        const headers = Object.fromEntries(answer.headers.map(({ name, value }) => [name, value]));
        await this.settle("record", this.opts.claims.record(token, { ...answer, headers }));
        return answer;
    }

    /** The caller has its answer already; a resend of what could not be settled is told `unknown`. */
    private async settle(action: string, settled: Promise<void>): Promise<void> {
        await settled.catch((error: unknown) => {
            this.opts.logger.warn("claim.not-settled", { action, error: String(error) });
        });
    }
}
