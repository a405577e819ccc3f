import type { IdempotentCalls } from "@knapweedwood/api.callers/idempotentCalls";
import type { RecordedResponse } from "@knapweedwood/api.callers/recordedResponse";
import type { ClaimService } from "@knapweedwood/batch.claims/claimService";
import type { ClaimToken } from "@knapweedwood/batch.claims/claimToken";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { toKnapweedError } from "@knapweedwood/core.errors/toKnapweedError";
import type { IdempotencyKey } from "@knapweedwood/core.ids/idempotencyKey";
import type { Logger } from "@knapweedwood/observability.logs/logger";

const HTTP_CONFLICT = 409;
const HTTP_UNPROCESSABLE_CONTENT = 422;
const RETRY_AFTER_MS = 1000;

/** Runs calls with an idempotency key under a claim, at most once. Records the response for repeated requests. */
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
                throw new KnapweedError("CALL_IN_PROGRESS", "A call with this idempotency key is in progress", {
                    statusCode: HTTP_CONFLICT,
                    outcome: "unknown",
                    retryAfterMs: RETRY_AFTER_MS,
                });
            case "conflict":
                throw new KnapweedError(
                    "IDEMPOTENCY_KEY_REUSED",
                    "The idempotency key was used for a different request",
                    {
                        statusCode: HTTP_UNPROCESSABLE_CONTENT,
                        outcome: "not-run",
                    },
                );
            case "unknown":
                throw new KnapweedError("OUTCOME_UNKNOWN", "The call was started, but its outcome is unknown", {
                    outcome: "unknown",
                    hint: "Check at the service whether the call has run",
                });
        }
    }

    private async runClaimed(token: ClaimToken, run: () => Promise<RecordedResponse>): Promise<RecordedResponse> {
        const response = await run().catch(async (thrown: unknown) => {
            const error = toKnapweedError(thrown);
            if (error.outcome === "not-run") {
                await this.settleOrLog("release", this.opts.claims.release(token));
            }
            throw error;
        });
        const headers = Object.fromEntries(response.headers.map(({ name, value }) => [name, value]));
        await this.settleOrLog("record", this.opts.claims.record(token, { ...response, headers }));
        return response;
    }

    /**
     * Waits for a claim to be recorded or released. A failure is only logged, because the caller already has its
     * response. A repeated request under a claim that could not be settled gets the outcome `unknown`.
     */
    private async settleOrLog(action: string, settled: Promise<void>): Promise<void> {
        await settled.catch((error: unknown) => {
            this.opts.logger.warn("claim-not-settled", { action, error: String(error) });
        });
    }
}
