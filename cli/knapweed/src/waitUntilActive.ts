import { sleep } from "@knapweedwood/core.clock/sleep";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ActiveRevisionResponse } from "./activeRevisionResponse.js";
import type { ApiClient } from "./apiClient.js";

const CHECK_INTERVAL_MS = 200;
const TIMEOUT_MS = 30_000;

/** Waits until a revision is active everywhere. Rejects with `NOT_IN_FORCE` and the missing instances after 30 s. */
export async function waitUntilActive(client: ApiClient, revision: number): Promise<ActiveRevisionResponse> {
    const clock = new SystemClock();
    const endMs = clock.nowMs() + TIMEOUT_MS;
    for (;;) {
        const report = await client.get("/admin/v1/configuration/in-force") as unknown as ActiveRevisionResponse;
        if (report.revision >= revision && report.missing.length === 0) {
            return report;
        }
        if (clock.nowMs() > endMs) {
            throw new KnapweedError("NOT_IN_FORCE", `The revision is not active yet on ${report.missing.join(", ")}`);
        }
        await sleep(clock, CHECK_INTERVAL_MS);
    }
}
