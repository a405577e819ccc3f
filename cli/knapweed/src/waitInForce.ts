import { sleep } from "@knapweedwood/core.clock/sleep";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ApiClient } from "./apiClient.js";
import type { InForceAnswer } from "./inForceAnswer.js";

const CHECK_INTERVAL_MS = 200;
const TIMEOUT_MS = 30_000;

/** Waits until a revision is in force everywhere. Throws `NOT_IN_FORCE` that names the missing processes. */
export async function waitInForce(client: ApiClient, revision: number): Promise<InForceAnswer> {
    const clock = new SystemClock();
    const endMs = clock.nowMs() + TIMEOUT_MS;
    for (;;) {
        const report = await client.get("/admin/v1/configuration/in-force") as unknown as InForceAnswer;
        if (report.revision >= revision && report.missing.length === 0) {
            return report;
        }
        if (clock.nowMs() > endMs) {
            throw new KnapweedError("NOT_IN_FORCE", `Still missing: ${report.missing.join(", ")}`);
        }
        await sleep(clock, CHECK_INTERVAL_MS);
    }
}
