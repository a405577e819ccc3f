import assert from "node:assert/strict";
import { test } from "node:test";
import { HELD_JOBS_WRITE_MS } from "../src/heldJobsWriteMs.js";
import { StoredCountTrust } from "../src/storedCountTrust.js";

const STEP_MS = 100;

/** Applies states for the given times, and returns whether the count is trusted at the end of each. */
function trustAfter(states: { forMs: number; isReachable: boolean; isLeaderReachable: boolean | undefined; }[]) {
    const trust = new StoredCountTrust();
    let nowMs = 0;
    return states.map(({ forMs, ...state }) => {
        let isTrusted = false;
        for (const endMs = nowMs + forMs; nowMs < endMs; nowMs += STEP_MS) {
            isTrusted = trust.update({ nowMs, ...state });
        }
        return isTrusted;
    });
}

const both = { isReachable: true, isLeaderReachable: true };
const onlySelf = { isReachable: true, isLeaderReachable: false };

// A gateway that started while the service came back counted without the jobs on the disks.
test("a process that has started trusts the count once held jobs are certain to be written", () => {
    const [early, late] = trustAfter([{ forMs: HELD_JOBS_WRITE_MS, ...both }, { forMs: 300, ...both }]);
    assert.deepEqual([early, late], [false, true]);
    assert.deepEqual(trustAfter([{ forMs: 5000, isReachable: true, isLeaderReachable: undefined }]), [true]);
});

// The service served gateways again but kept rejecting the runners, whose held jobs it lacked.
test("after an outage the count is trusted only once the leader has reached the service long enough", () => {
    const outage = { forMs: 500, isReachable: false, isLeaderReachable: false };
    assert.deepEqual(
        trustAfter([
            { forMs: 5000, ...both },
            outage,
            { forMs: 20_000, ...onlySelf },
            { forMs: 3000, ...both },
            { forMs: 1500, ...both },
        ]),
        [true, false, false, false, true],
    );
});

// No job is held while a process reaches the service, so that a leader that is cut off alone leaves the count complete.
test("a leader that loses the service alone doesn't end the trust", () => {
    assert.deepEqual(trustAfter([{ forMs: 5000, ...both }, { forMs: 9000, ...onlySelf }]), [true, true]);
});
