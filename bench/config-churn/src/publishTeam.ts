import { request } from "undici";
import type { PublishOutcome } from "./publishOutcome.js";

const TIMEOUT_MS = 15_000;
const OUTCOME_HEADER = "x-knapweed-outcome";
const OK_STATUS = 200;

/** Publishes one team through an entry's operators' API. A failed request gives the outcome `unknown`. */
export async function publishTeam(
    opts: { url: string; key: string; teamId: string; weight: number; },
): Promise<PublishOutcome> {
    const text = `teams: [{ teamId: ${opts.teamId}, weight: ${opts.weight} }]`;
    try {
        const response = await request(`${opts.url}/admin/v1/configuration/publish`, {
            method: "POST",
            headers: { authorization: `Bearer ${opts.key}`, "content-type": "application/json" },
            body: JSON.stringify({ files: [{ path: "knapweed.yaml", text }], message: "bench" }),
            signal: AbortSignal.timeout(TIMEOUT_MS),
        });
        const body = await response.body.json() as { revision?: number; };
        if (response.statusCode === OK_STATUS) {
            return { kind: "accepted", revision: body.revision ?? 0 };
        }
        return response.headers[OUTCOME_HEADER] === "not-run" ? { kind: "refused" } : { kind: "unknown" };
    }
    catch {
        return { kind: "unknown" };
    }
}
