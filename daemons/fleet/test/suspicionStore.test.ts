// The entry of a request that was quarantined once would have stayed in the key-value service forever. A write that arrived
// late replaced the newer entry of another process, and was even repeated.
import { decodeRecord } from "@knapweedwood/batch.records/decodeRecord";
import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { RequestFingerprint } from "@knapweedwood/core.ids/requestFingerprint";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import { answerLostError } from "@knapweedwood/core.key-value/answerLostError";
import { invalidCallError } from "@knapweedwood/core.key-value/invalidCallError";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import { MAX_KEY_SIZE_BYTES } from "@knapweedwood/core.key-value/maxKeySizeBytes";
import type { TransactionResult } from "@knapweedwood/core.key-value/transactionResult";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { Suspicion } from "@knapweedwood/fleet.quarantine/suspicion";
import { fleetKeys } from "@knapweedwood/fleet.sync/fleetKeys";
import { PrefixMirror } from "@knapweedwood/fleet.sync/prefixMirror";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SuspicionStore } from "../src/suspicionStore.js";

const SEED = 20_261_204;
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
const RELEASED: Suspicion = { ...SUSPICION, disproofs: 1, hasSucceeded: true, isQuarantined: false };
/** Longer than the delay before a write is repeated. */
const REPEATED_MS = 3000;

/** Key-value service that can execute a write long after its caller gave it up. */
class LateKeyValueService extends MemoryKeyValueService {
    private late: (() => Promise<unknown>) | undefined;
    private isNextLate = false;
    /** Key of an entry that can't be written. */
    rejectedKey: string | undefined;

    delayNextWrite(): void {
        this.isNextLate = true;
    }

    async executeLateWrite(): Promise<void> {
        await this.late?.();
    }

    override transact(compares: KeyValueCompare[], operations: KeyValueOperation[]): Promise<TransactionResult> {
        if (operations.some(({ key }) => key === this.rejectedKey)) {
            return Promise.reject(invalidCallError("The stand-in rejects this key."));
        }
        if (!this.isNextLate) {
            return super.transact(compares, operations);
        }
        this.isNextLate = false;
        this.late = () => super.transact(compares, operations);
        return Promise.reject(answerLostError("The write is executed late."));
    }
}

async function start() {
    const clock = new ManualClock();
    const service = new LateKeyValueService({ clock });
    const createStore = () => {
        const mirror = new PrefixMirror({
            service,
            clock,
            random: new SeededRandom(SEED),
            logger: silentLogger,
            prefix: fleetKeys.prefix,
            keepsEntries: true,
            onSnapshot: () => undefined,
            onChange: () => undefined,
        });
        void mirror.run(new AbortController().signal);
        return new SuspicionStore({
            service,
            clock,
            logger: silentLogger,
            knownEntry: key => mirror.entry(key),
        });
    };
    const stored = async () =>
        (await service.list(fleetKeys.suspicionsPrefix)).map(({ value }) => decodeRecord<Suspicion>(value));
    const [first, second] = [createStore(), createStore()];
    await clock.advance(100);
    return { clock, service, first, second, stored };
}

test("a suspicion is written, replaced and removed, also after an outage of the key-value service", async () => {
    const { clock, service, first, stored } = await start();
    first.write(SUSPICION);
    await clock.advance(100);
    assert.deepEqual(await stored(), [SUSPICION]);
    service.faults.outage = true;
    first.write({ ...SUSPICION, probes: 1 });
    await clock.advance(100);
    service.faults.outage = false;
    await clock.advance(REPEATED_MS);
    assert.deepEqual(await stored(), [{ ...SUSPICION, probes: 1 }]);
    service.faults.outage = true;
    first.remove({ ...SUSPICION, probes: 1 });
    await clock.advance(100);
    service.faults.outage = false;
    await clock.advance(REPEATED_MS);
    assert.deepEqual(await stored(), []);
});

test("a write that arrives late, or is repeated, does not replace the newer suspicion of another process", async () => {
    const { clock, service, first, second, stored } = await start();
    service.delayNextWrite();
    first.write(SUSPICION);
    await clock.advance(100);
    second.write(RELEASED);
    await clock.advance(100);
    await service.executeLateWrite();
    assert.deepEqual(await stored(), [RELEASED]);
    await clock.advance(REPEATED_MS);
    assert.deepEqual(await stored(), [RELEASED]);
});

test("a removal that arrives late, or is repeated, does not remove the newer suspicion of another process", async () => {
    const { clock, service, first, second, stored } = await start();
    first.write(SUSPICION);
    await clock.advance(100);
    service.delayNextWrite();
    first.remove(SUSPICION);
    await clock.advance(100);
    second.write(RELEASED);
    await clock.advance(100);
    await service.executeLateWrite();
    assert.deepEqual(await stored(), [RELEASED]);
    await clock.advance(REPEATED_MS);
    assert.deepEqual(await stored(), [RELEASED]);
});

test("what several processes write at the same time is merged", async () => {
    const { clock, first, second, stored } = await start();
    const crashes = ["u1", "u2"] as unknown as UpstreamProcessKey[];
    first.write({ ...SUSPICION, crashes: crashes.slice(0, 1) });
    second.write({ ...SUSPICION, crashes: crashes.slice(1) });
    await clock.advance(REPEATED_MS);
    assert.deepEqual((await stored()).map(one => [...one.crashes].sort()), [crashes]);
});

test("a write whose response is lost is settled by one more call", async () => {
    const { clock, service, first, stored } = await start();
    service.faults.loseNextResponses(1);
    first.write(SUSPICION);
    await clock.advance(2 * REPEATED_MS);
    assert.deepEqual([service.counters.writes, await stored()], [2, [SUSPICION]]);
});

// A process forgets a release after a while, and then counts disproofs from 0 again.
test("a new quarantine replaces an old release that its process has read, and costs one call", async () => {
    const { clock, service, first, second, stored } = await start();
    second.write(RELEASED);
    await clock.advance(100);
    const { writes, reads } = service.counters;
    first.write(SUSPICION);
    await clock.advance(REPEATED_MS);
    assert.deepEqual(await stored(), [SUSPICION]);
    assert.deepEqual([service.counters.writes - writes, service.counters.reads - reads], [1, 1], "the test reads once");
});

test("suspicions are written by transactions of 32 entries at most", async () => {
    const { clock, service, first, stored } = await start();
    const sizes: number[] = [];
    const transact = service.transact.bind(service);
    service.transact = (compares, operations) => {
        sizes.push(compares.length + operations.length);
        return transact(compares, operations);
    };
    const parts = Array.from({ length: 40 }, (_, index) => `request:${index}` as RequestFingerprint);
    parts.forEach(part => first.write({ ...SUSPICION, part }));
    await clock.advance(2 * REPEATED_MS);
    assert.equal((await stored()).length, parts.length);
    assert.ok(Math.max(...sizes) <= 32, `${Math.max(...sizes)} entries`);
});

// A part of a prompt whose id made a key too long kept every other suspicion from being stored, for good.
test("a suspicion that the key-value service rejects holds up no others, and a long id makes no key too long", async () => {
    const { clock, service, first, stored } = await start();
    const [bad, sound] = ["request:bad", "request:sound"].map(part => ({
        ...SUSPICION,
        part: part as RequestFingerprint,
    }));
    service.rejectedKey = fleetKeys.suspicion(bad!.service, bad!.part);
    const long = { ...SUSPICION, part: "request:long".padEnd(500, "g") as RequestFingerprint };
    service.faults.outage = true;
    [bad!, sound!, long].forEach(suspicion => first.write(suspicion));
    await clock.advance(100);
    service.faults.outage = false;
    await clock.advance(3 * REPEATED_MS);
    assert.deepEqual(new Set((await stored()).map(({ part }) => part)), new Set([sound!.part, long.part]));
    const keys = (await service.list(fleetKeys.suspicionsPrefix)).map(({ key }) => key);
    assert.equal(keys.every(key => key.length <= MAX_KEY_SIZE_BYTES), true);
    first.remove(long);
    await clock.advance(REPEATED_MS);
    assert.deepEqual((await stored()).map(({ part }) => part), [sound!.part]);
});
