// The entry of a request that was quarantined once would have stayed in the key-value service forever.
import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { RequestFingerprint } from "@knapweedwood/core.ids/requestFingerprint";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Suspicion } from "@knapweedwood/fleet.quarantine/suspicion";
import { fleetKeys } from "@knapweedwood/fleet.sync/fleetKeys";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SuspicionStore } from "../src/suspicionStore.js";

const SUSPICION: Suspicion = {
    service: "s" as ServiceName,
    part: "request:1" as RequestFingerprint,
    disproofs: 0,
    crashes: [],
    rounds: 0,
    hasSucceeded: false,
    isQuarantined: true,
    probes: 0,
};

test("a suspicion is written, replaced and removed, also after an outage of the key-value service", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const store = new SuspicionStore({ service, clock, logger: silentLogger });
    const stored = async () =>
        (await service.list(fleetKeys.suspicionsPrefix)).map(({ value }) => decodeRecord<Suspicion>(value));
    store.write(SUSPICION);
    await clock.advance(100);
    assert.deepEqual(await stored(), [SUSPICION]);
    service.faults.outage = true;
    store.write({ ...SUSPICION, probes: 1 });
    await clock.advance(100);
    service.faults.outage = false;
    await clock.advance(2000);
    assert.deepEqual(await stored(), [{ ...SUSPICION, probes: 1 }]);
    service.faults.outage = true;
    store.remove(SUSPICION);
    await clock.advance(100);
    service.faults.outage = false;
    await clock.advance(2000);
    assert.deepEqual(await stored(), []);
});
