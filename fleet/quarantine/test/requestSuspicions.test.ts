// A crash of many upstreams breaks off thousands of requests, each with a fingerprint of its own.
import type { RequestFingerprint } from "@knapweedwood/core.ids/requestFingerprint";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { mergeSuspicions } from "../src/mergeSuspicions.js";
import { RequestSuspicions } from "../src/requestSuspicions.js";
import type { Suspicion } from "../src/suspicion.js";

const SERVICE = "s" as ServiceName;
const BAD = "request:bad" as RequestFingerprint;
const BROKEN_OFF = 10_000;
/** Bounds of memory and of the datagrams in a repetition, which hold six each. */
const MAX_KEPT = 2000;
const MAX_REPEATED = 60;

function createSuspicions(): RequestSuspicions {
    return new RequestSuspicions({ random: new SeededRandom(1), upstreamCount: () => 3 });
}

function crash(suspicions: RequestSuspicions, fingerprint: RequestFingerprint, process: string, nowMs: number): void {
    const run = suspicions.observe(SERVICE, [fingerprint], nowMs);
    suspicions.onCrash(run, process as UpstreamProcessKey, nowMs);
}

function blockedForMs(suspicions: RequestSuspicions, nowMs: number): number {
    return suspicions.blockedForMs(SERVICE, [BAD], { nowMs, isSoleRunner: false });
}

test("a crash of many upstreams creates bounded suspicions and datagrams, and a quarantine outlasts it", () => {
    const suspicions = createSuspicions();
    const sound = suspicions.observe(SERVICE, ["request:sound" as RequestFingerprint], 0);
    suspicions.onSuccess(sound, 0);
    ["u-1", "u-2", "u-3"].forEach(process => crash(suspicions, BAD, process, 1));
    assert.ok(blockedForMs(suspicions, 2) > 0);
    Array.from({ length: BROKEN_OFF }).forEach((_, index) =>
        crash(suspicions, `request:${index}` as RequestFingerprint, `u-${index % 100}`, 3)
    );
    assert.ok(suspicions.size <= MAX_KEPT, `${suspicions.size} suspicions`);
    const repetitions = Array.from({ length: 20 }, () => suspicions.toRepeat(4));
    assert.deepEqual(repetitions.filter(repeated => repeated.length > MAX_REPEATED), []);
    assert.ok(repetitions.every(repeated => repeated.some(({ part }) => part === BAD)));
    const distinct = new Set(repetitions.flat().map(({ part }) => part));
    assert.ok(distinct.size > MAX_REPEATED * 19, "repetitions go on with others");
    assert.ok(blockedForMs(suspicions, 5) > 0);
});

function suspicionOf(fingerprint: RequestFingerprint, crashes: string[], withdrawn: string[] = []): Suspicion {
    return {
        service: SERVICE,
        part: fingerprint,
        disproofs: 0,
        crashes: crashes as UpstreamProcessKey[],
        ...withdrawn.length > 0 ? { withdrawn: withdrawn as UpstreamProcessKey[] } : {},
        rounds: crashes.length,
        hasSucceeded: false,
        isQuarantined: false,
        probes: 0,
    };
}

// A run in progress when a response breaks off may have been answered before its upstream crashed.
test("only a response to a run that began after a crash was known withdraws the crash", () => {
    const suspicions = createSuspicions();
    const process = "u-1" as UpstreamProcessKey;
    const before = suspicions.observe(SERVICE, [], 0);
    crash(suspicions, BAD, process, 1);
    const after = suspicions.observe(SERVICE, [], 0);
    assert.ok(!suspicions.isSuspected(process, before));
    assert.deepEqual(suspicions.withdraw(process, before.sequence, 2), []);
    assert.ok(suspicions.isSuspected(process, after));
    const [withdrawn] = suspicions.withdraw(process, after.sequence, 2);
    assert.deepEqual([withdrawn?.crashes, withdrawn?.withdrawn], [[], [process]]);
});

test("an upstream that was cleared counts again once it breaks off another run", () => {
    const suspicions = createSuspicions();
    suspicions.onSuccess(suspicions.observe(SERVICE, [], 0), 0);
    crash(suspicions, BAD, "u-1", 1);
    suspicions.withdraw("u-1" as UpstreamProcessKey, suspicions.observe(SERVICE, [], 0).sequence, 2);
    ["u-1", "u-2"].forEach(process => crash(suspicions, BAD, process, 3));
    assert.equal(blockedForMs(suspicions, 4), 0);
    crash(suspicions, BAD, "u-3", 4);
    assert.ok(blockedForMs(suspicions, 5) > 0);
});

// The datagram that tells that the first crash was withdrawn may come after the one that tells of the second.
test("two crashes of one process that are known at the same time are both withdrawn", () => {
    const suspicions = createSuspicions();
    suspicions.merge([suspicionOf(BAD, ["u-1 1", "u-1 1 #2"])], 1);
    const { sequence } = suspicions.observe(SERVICE, [], 0);
    const changed = suspicions.withdraw("u-1 1" as UpstreamProcessKey, sequence, 2);
    assert.deepEqual(changed.at(-1)?.crashes, []);
});

// Suspicions come late, repeatedly and in any order, also from processes of the version before, which withdraw nothing.
test("suspicions with withdrawn crashes merge in any order, and a withdrawn crash stays withdrawn", () => {
    const keys = fc.uniqueArray(fc.constantFrom("u-1 1", "u-2 1", "u-3 1", "u-1 1 #2"));
    const known = fc.array(fc.tuple(keys, keys), { minLength: 2, maxLength: 4 });
    const outcomeOf = (suspicions: readonly Suspicion[]) => {
        const merged = [...suspicions, ...suspicions].reduce(mergeSuspicions);
        return { crashes: new Set(merged.crashes), withdrawn: new Set(merged.withdrawn) };
    };
    fc.assert(fc.property(known, pairs => {
        const suspicions = pairs.map(([crashes, withdrawn]) =>
            suspicionOf(BAD, crashes.filter(one => !withdrawn.includes(one)), withdrawn)
        );
        const outcome = outcomeOf(suspicions);
        assert.deepEqual(outcomeOf(suspicions.toReversed()), outcome);
        assert.deepEqual([...outcome.crashes].filter(one => outcome.withdrawn.has(one)), []);
    }));
});
