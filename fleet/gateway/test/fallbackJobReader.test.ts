import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { ItemId } from "@knapweedwood/core.ids/itemId";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import assert from "node:assert/strict";
import { test } from "node:test";
import { FallbackJobReader } from "../src/fallbackJobReader.js";
import type { RemoteJobReader } from "../src/remoteJobReader.js";

const jobId = "job" as JobId;

function readerOf(next: number | undefined): RemoteJobReader {
    return {
        results: () => Promise.resolve(next === undefined ? undefined : { total: 9, results: [], next }),
        itemBody: () => Promise.resolve(next === undefined ? undefined : Buffer.from(String(next))),
    };
}

const unreachable: RemoteJobReader = {
    results: () => Promise.reject(new KnapweedError("LINK_NOT_OPEN", "No connection")),
    itemBody: () => Promise.reject(new KnapweedError("LINK_NOT_OPEN", "No connection")),
};

// Links to the leader didn't open for 50 s, though every result was stored.
test("reads go to the key-value service while the leader can't be reached, and to the leader otherwise", async () => {
    const read = async (leader: RemoteJobReader) => {
        const reader = new FallbackJobReader({ logger: silentLogger, leader, stored: readerOf(2) });
        const page = await reader.results({ jobId, after: 0, waitMs: 0 });
        return [page?.next, (await reader.itemBody({ jobId: jobId, itemId: "i" as ItemId }))?.toString()];
    };
    assert.deepEqual(await read(unreachable), [2, "2"]);
    assert.deepEqual(await read(readerOf(1)), [1, "1"]);
    assert.deepEqual(await read(readerOf(undefined)), [undefined, undefined]);
});
