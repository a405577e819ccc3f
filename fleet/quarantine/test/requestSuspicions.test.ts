// A crash of many upstreams breaks off thousands of requests, each with a fingerprint of its own.
import type { RequestFingerprint } from "@knapweedwood/core.ids/requestFingerprint";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamProcessKey } from "@knapweedwood/core.ids/upstreamProcessKey";
import assert from "node:assert/strict";
import { test } from "node:test";
import { RequestSuspicions } from "../src/requestSuspicions.js";

const SERVICE = "s" as ServiceName;
const BAD = "request:bad" as RequestFingerprint;
const BROKEN_OFF = 10_000;
/** Bounds of memory and of the datagrams in a repetition, which hold six each. */
const MAX_KEPT = 2000;
const MAX_REPEATED = 60;

function crash(suspicions: RequestSuspicions, fingerprint: RequestFingerprint, process: string, nowMs: number): void {
    const run = suspicions.observe(SERVICE, [fingerprint]);
    suspicions.onCrash(run, process as UpstreamProcessKey, nowMs);
}

test("a crash of many upstreams creates bounded suspicions and datagrams, and a quarantine outlasts it", () => {
    const suspicions = new RequestSuspicions({ jitter: 0 });
    const sound = suspicions.observe(SERVICE, ["request:sound" as RequestFingerprint]);
    suspicions.onSuccess(sound, 0);
    ["u-1", "u-2", "u-3"].forEach(process => crash(suspicions, BAD, process, 1));
    assert.ok(suspicions.blockedForMs(SERVICE, [BAD], 2) > 0);
    Array.from({ length: BROKEN_OFF }).forEach((_, index) =>
        crash(suspicions, `request:${index}` as RequestFingerprint, `u-${index % 100}`, 3)
    );
    assert.ok(suspicions.size <= MAX_KEPT, `${suspicions.size} suspicions`);
    const repetitions = Array.from({ length: 20 }, () => suspicions.toRepeat(4));
    assert.deepEqual(repetitions.filter(repeated => repeated.length > MAX_REPEATED), []);
    assert.ok(repetitions.every(repeated => repeated.some(({ part }) => part === BAD)));
    const distinct = new Set(repetitions.flat().map(({ part }) => part));
    assert.ok(distinct.size > MAX_REPEATED * 19, "repetitions go on with others");
    assert.ok(suspicions.blockedForMs(SERVICE, [BAD], 5) > 0);
});
