import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import { answerLostError } from "@knapweedwood/core.key-value/answerLostError";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { MemoryKeyValueService } from "@knapweedwood/standins.key-value/memoryKeyValueService";
import assert from "node:assert/strict";
import { mock, test } from "node:test";
import { computeWatchWaitMs } from "../src/computeWatchWaitMs.js";
import { PrefixMirror } from "../src/prefixMirror.js";
import type { PrefixMirrorOptions } from "../src/prefixMirrorOptions.js";

/** Times after which calls and watches fail while the service is unresponsive, in milliseconds. */
const LOST_CALL_MS = 600;
const LOST_WATCH_MS = 4700;

function put(key: string) {
    return { kind: "put", key, value: Buffer.from("v") } as const;
}

/** Starts a mirror of `a/`. `keys` are those that it has reported. */
function setUp(change: Partial<PrefixMirrorOptions> = {}, isDown = false) {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    service.faults.outage = isDown;
    const controller = new AbortController();
    const keys = new Set<string>();
    let recoveries = 0;
    let snapshots = 0;
    const mirror = new PrefixMirror({
        service,
        clock,
        random: new SeededRandom(1),
        logger: silentLogger,
        prefix: "a/",
        onSnapshot: entries => {
            snapshots += 1;
            keys.clear();
            entries.forEach(entry => keys.add(entry.key));
        },
        onChange: batch => {
            batch.puts.forEach(entry => keys.add(entry.key));
            batch.deletedKeys.forEach(key => keys.delete(key));
        },
        onRecovered: () => {
            recoveries += 1;
        },
        ...change,
    });
    void mirror.run(controller.signal);
    return { clock, service, mirror, keys, counts: () => ({ recoveries, snapshots }), stop: () => controller.abort() };
}

test("changes made during an outage are mirrored after recovery, and the recovery is reported", async () => {
    const { clock, service, mirror, keys, counts, stop } = setUp();
    await service.transact([], [put("a/1")]);
    await clock.advance(100);
    assert.equal(mirror.lastOutageEndedAtMs, -Infinity, "no outage was seen");
    service.faults.outage = true;
    await clock.advance(3000);
    assert.equal(mirror.lastOutageEndedAtMs, Infinity);
    service.faults.outage = false;
    await service.transact([], [put("a/2"), { kind: "delete", key: "a/1" }]);
    await clock.advance(2000);
    assert.deepEqual([...keys], ["a/2"]);
    assert.equal(counts().recoveries, 1);
    assert.ok(mirror.lastOutageEndedAtMs >= 3100 && mirror.lastOutageEndedAtMs <= clock.nowMs());
    stop();
});

test("a mirror behind a peer lists again, but not if the watch delivers the change", async () => {
    const { clock, service, mirror, counts, stop } = setUp();
    await clock.advance(100);
    await service.transact([], [put("a/1")]);
    mirror.catchUp(service.revision);
    await clock.advance(1000);
    assert.equal(counts().snapshots, 1);
    mirror.catchUp(service.revision + 1);
    await clock.advance(1000);
    assert.equal(counts().snapshots, 2);
    stop();
});

test("an outage resets the time since which the service is reachable", async () => {
    const { clock, service, mirror, stop } = setUp();
    await clock.advance(100);
    assert.ok(mirror.reachableSinceMs <= 100);
    service.faults.outage = true;
    await clock.advance(1000);
    assert.equal(mirror.reachableSinceMs, Infinity);
    service.faults.outage = false;
    await service.transact([], [put("a/1")]);
    await clock.advance(2000);
    assert.ok(mirror.reachableSinceMs >= 1100);
    stop();
});

/** Key-value service with a period without responses: calls sent during it fail and watches hang. */
class UnresponsiveKeyValueService extends MemoryKeyValueService {
    isUnresponsive = false;
    private readonly testClock: ManualClock;

    constructor(clock: ManualClock) {
        super({ clock });
        this.testClock = clock;
    }

    override async snapshot(prefix: string) {
        if (this.isUnresponsive) {
            await sleep(this.testClock, LOST_CALL_MS);
            throw answerLostError("unresponsive");
        }
        return super.snapshot(prefix);
    }

    override async changes(prefix: string, opts: { afterRevision: number; }) {
        if (this.isUnresponsive) {
            await sleep(this.testClock, LOST_CALL_MS);
            throw answerLostError("unresponsive");
        }
        return super.changes(prefix, opts);
    }

    override async *watch(prefix: string, opts: { afterRevision: number; signal: AbortSignal; }) {
        if (this.isUnresponsive) {
            await sleep(this.testClock, LOST_WATCH_MS, opts.signal);
            throw answerLostError("unresponsive");
        }
        yield* super.watch(prefix, opts);
    }
}

test("a change made at the end of an unresponsive period is mirrored within two seconds", async () => {
    const clock = new ManualClock();
    const service = new UnresponsiveKeyValueService(clock);
    const controller = new AbortController();
    const keys = new Set<string>();
    const mirror = new PrefixMirror({
        service,
        clock,
        random: new SeededRandom(1),
        logger: silentLogger,
        prefix: "a/",
        onSnapshot: entries => entries.forEach(entry => keys.add(entry.key)),
        onChange: batch => batch.puts.forEach(entry => keys.add(entry.key)),
    });
    void mirror.run(controller.signal);
    await clock.advance(100);
    service.isUnresponsive = true;
    service.faults.outage = true;
    service.faults.outage = false;
    await clock.advance(1000);
    service.isUnresponsive = false;
    await service.transact([], [put("a/1")]);
    await clock.advance(2000);
    assert.deepEqual([...keys], ["a/1"]);
    controller.abort();
});

test("the first change is delivered at once, and watch calls wait longer in a large fleet", async () => {
    const clock = new ManualClock();
    const service = new MemoryKeyValueService({ clock });
    const controller = new AbortController();
    const batches: number[] = [];
    const waits: (number | undefined)[] = [];
    const inner = service.watch.bind(service);
    service.watch = (prefix: string, opts: { afterRevision: number; signal: AbortSignal; waitMs?: number; }) => {
        waits.push(opts.waitMs);
        return inner(prefix, opts);
    };
    const mirror = new PrefixMirror({
        service,
        clock,
        random: new SeededRandom(1),
        logger: silentLogger,
        prefix: "a/",
        watchWaitMs: () => computeWatchWaitMs(39),
        coalesceMs: () => 200,
        onSnapshot: () => undefined,
        onChange: batch => batches.push(batch.puts.length),
    });
    void mirror.run(controller.signal);
    await clock.advance(100);
    await service.transact([], [put("a/1")]);
    await clock.advance(50);
    assert.deepEqual(batches, [1], "the first change is delivered at once");
    await clock.advance(1000);
    controller.abort();
    assert.deepEqual([7, 39, 500].map(computeWatchWaitMs), [8000, 19_500, 20_000]);
    assert.equal(waits.length, 1);
    assert.ok(waits[0]! >= 9750 && waits[0]! <= 29_250 && Number.isInteger(waits[0]), `the wait is ${waits[0]} ms`);
});

// With a pause longer than the time that the watch has to catch up, each change would be listed by every process.
test("a revision reported by a peer during the pause after a change causes no listing", async () => {
    const { clock, service, mirror, keys, counts, stop } = setUp({ coalesceMs: () => 500 });
    await clock.advance(100);
    await service.transact([], [put("a/1")]);
    await clock.advance(50);
    const { revision } = await service.transact([], [put("a/2")]);
    mirror.catchUp(revision);
    await clock.advance(1500);
    assert.deepEqual([counts().snapshots, [...keys]], [1, ["a/1", "a/2"]]);
    stop();
});

test("entries of another process are used until the first listing, and never after it", async () => {
    const { clock, service, mirror, keys, counts, stop } = setUp({ keepsEntries: true }, true);
    await clock.advance(500);
    const seeded = [{ key: "a/seeded", value: Buffer.from("s"), modRevision: 1, leaseId: undefined }];
    assert.equal(mirror.isInitialized, false);
    mirror.seed(seeded, 1);
    mirror.seed(seeded, 1);
    assert.deepEqual([mirror.isInitialized, mirror.revision, counts().snapshots, [...keys]], [true, 0, 1, [
        "a/seeded",
    ]]);
    service.faults.outage = false;
    await service.transact([], [put("a/listed")]);
    await clock.advance(2000);
    mirror.seed(seeded, 1);
    assert.deepEqual([counts().snapshots, [...keys]], [2, ["a/listed"]]);
    assert.deepEqual(mirror.entries().map(entry => entry.key), ["a/listed"]);
    stop();
});

// A process that restarted while a replica of the service lagged behind brought back upstreams that had left.
test("a listing that is older than what is known is refused, unless the service stays at it", async () => {
    const { clock, service, mirror, keys, stop } = setUp({ keepsEntries: true }, true);
    const entryOf = (key: string) => ({ key, value: Buffer.from("s"), modRevision: 1, leaseId: undefined });
    assert.deepEqual([[entryOf("a/older")], [entryOf("a/newer")]].map((one, index) => mirror.seed(one, 50 + index)), [
        true,
        true,
    ]);
    assert.equal(mirror.seed([entryOf("a/older")], 50), false);
    service.faults.outage = false;
    await service.transact([], [put("a/stale")]);
    await clock.advance(20_000);
    assert.deepEqual([[...keys], mirror.isCurrent, mirror.knownRevision], [["a/newer"], false, 51]);
    await clock.advance(15_000);
    assert.deepEqual([[...keys], mirror.isCurrent], [["a/stale"], true]);
    stop();
});

// A listing shows no change that was undone since the one before it.
test("a mirror is without a gap since its last listing only", async () => {
    const { clock, service, mirror, stop } = setUp();
    assert.equal(mirror.gaplessSinceMs, Infinity);
    await clock.advance(100);
    const listedAtMs = mirror.gaplessSinceMs;
    await service.transact([], [put("a/1")]);
    await clock.advance(1000);
    assert.ok(listedAtMs <= 100 && mirror.gaplessSinceMs === listedAtMs);
    mirror.catchUp(service.revision + 1);
    assert.equal(mirror.gaplessSinceMs, Infinity);
    service.faults.outage = true;
    await clock.advance(100);
    service.faults.outage = false;
    await service.transact([], [put("a/2")]);
    service.compact();
    mirror.catchUp(service.revision + 1);
    await clock.advance(1000);
    await service.transact([], [put("a/3")]);
    await clock.advance(1000);
    assert.ok(mirror.gaplessSinceMs >= 1100 && mirror.gaplessSinceMs <= clock.nowMs());
    stop();
});

// A listing that arrived after its mirror had ended was applied, and brought back what had been removed since.
test("a listing that arrives after the mirror was stopped is not applied", async () => {
    const { clock, service, counts, stop } = setUp();
    service.faults.responseDelayMs = 200;
    await clock.advance(10);
    const { snapshots } = counts();
    service.compact();
    await clock.advance(150);
    stop();
    await clock.advance(1000);
    assert.equal(counts().snapshots, snapshots);
});

test("a mirror is current unless its calls fail or another process has reported a revision that it lacks", async () => {
    const { clock, service, mirror, stop } = setUp();
    assert.equal(mirror.isCurrent, false, "nothing is listed yet");
    await clock.advance(100);
    assert.equal(mirror.isCurrent, true);
    mirror.catchUp(mirror.revision + 1);
    assert.equal(mirror.isCurrent, false, "a later revision is known");
    await service.transact([], [put("a/1")]);
    await clock.advance(1000);
    assert.equal(mirror.isCurrent, true);
    service.faults.outage = true;
    await clock.advance(LOST_WATCH_MS + LOST_CALL_MS);
    assert.equal(mirror.isCurrent, false, "the service is unresponsive");
    stop();
});

/** Makes watches deliver `batch` 1 s after their start, even when they were aborted in the meantime. */
function delayWatches({ clock, service }: ReturnType<typeof setUp>, batch: WatchBatch): void {
    mock.method(service, "watch", async function*() {
        await sleep(clock, 1000);
        yield batch;
    });
}

// A process that had been frozen lost its leadership first and then received a change. The job of which it had only the
// record stayed in its table until it led again.
test("a change that arrives after the mirror was stopped is not applied", async () => {
    const testBed = setUp({}, true);
    const { clock, service, keys, stop } = testBed;
    const late = { key: "a/late", value: Buffer.from("v"), modRevision: 1, leaseId: undefined };
    delayWatches(testBed, { revision: 1, puts: [late], deletedKeys: [] });
    service.faults.outage = false;
    await clock.advance(600);
    stop();
    await clock.advance(2000);
    assert.deepEqual([...keys], []);
});

// The change set the revision of the mirror, so that the listing was left out.
test("a change that arrives when the prefix is to be listed again doesn't replace the listing", async () => {
    const testBed = setUp({}, true);
    const { clock, service, mirror, counts, stop } = testBed;
    delayWatches(testBed, { revision: 1, puts: [], deletedKeys: [] });
    service.faults.outage = false;
    await service.transact([], [put("a/1")]);
    await clock.advance(1200);
    const { snapshots } = counts();
    const { revision } = await service.transact([], [put("a/2")]);
    mirror.catchUp(revision + 1);
    await clock.advance(1500);
    assert.deepEqual([counts().snapshots - snapshots, mirror.revision], [1, revision]);
    stop();
});
