import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { HeldJobsCollector } from "../src/heldJobsCollector.js";

/** Collects from runners of which the given ones are unreachable, and one may be lost. Each holds its own job. */
async function collectWithout(unreachable: string[], isOwnDiskRead = true) {
    const connect = (address: string) => ({
        call: async function*() {
            if (unreachable.includes(address[0]!)) {
                throw new KnapweedError("LINK_NOT_OPEN", "No connection", { outcome: "not-run" });
            }
            yield { job: address[0] };
        },
    });
    const collector = new HeldJobsCollector({
        endpoint: { connect } as unknown as LinkEndpoint,
        logger: silentLogger,
        otherRunners: () => ["a", "b", "c"].map(host => ({ host, port: 1 })),
        tolerableLosses: () => 1,
        isOwnDiskRead: () => isOwnDiskRead,
    });
    return collector.collect(7);
}

test("held jobs are complete while no more runners are unreachable than may be lost", async () => {
    assert.deepEqual(await collectWithout([]), { jobs: ["a", "b", "c"], isComplete: true });
    assert.deepEqual(await collectWithout(["b"]), { jobs: ["a", "c"], isComplete: true });
    assert.deepEqual(await collectWithout(["a", "b"]), { jobs: ["c"], isComplete: false });
});

// A leader that was still reading its own disk took the answers of the others for all jobs.
test("held jobs that the leader hasn't read from its own disk count as those of an unreachable runner", async () => {
    assert.equal((await collectWithout([], false)).isComplete, true);
    assert.equal((await collectWithout(["b"], false)).isComplete, false);
});
