import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { SystemClock } from "@knapweedwood/core.clock/systemClock";
import type { ModelName } from "@knapweedwood/core.ids/modelName";
import type { ModelVersion } from "@knapweedwood/core.ids/modelVersion";
import { HttpWeightStore } from "@knapweedwood/placement.weight-store/httpWeightStore";
import assert from "node:assert/strict";
import { test } from "node:test";
import { WeightStoreServer } from "../src/weightStoreServer.js";

const request = { model: "model" as ModelName, version: "1" as ModelVersion, sizeBytes: 2000 };

test("transfers wait for earlier reservations, but not for cancelled ones", async () => {
    const clock = new ManualClock();
    const server = new WeightStoreServer({ clock, bytesPerS: 1000 });
    const port = await server.listen({ host: "127.0.0.1", port: 0 });
    const store = new HttpWeightStore({ clock: new SystemClock(), baseUrl: `http://127.0.0.1:${port}` });
    const first = await store.requestLoad(request);
    assert.deepEqual([first.waitMs, first.transferMs], [0, 2000]);
    await clock.advance(500);
    const second = await store.requestLoad(request);
    assert.deepEqual([second.waitMs, second.transferMs], [1500, 2000]);
    await store.cancelLoad(second.reservationId);
    assert.equal((await store.requestLoad(request)).waitMs, 1500);
    server.applyFaults({ outage: true });
    await assert.rejects(store.requestLoad(request), {
        code: "ERR_KNAPWEED_WEIGHT_STORE_UNAVAILABLE",
        outcome: "not-run",
    });
    await store.close();
    await server.close();
});
