import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { HoldAdmission } from "../src/holdAdmission.js";

const LIMIT = 100;
const RUNNERS = 5;
const TOLERABLE_LOSSES = 1;
const COPIES = TOLERABLE_LOSSES + 1;

/** A runner with its disk. It may lead under several fencing numbers, one after the other. */
class SimulatedRunner {
    readonly admission = new HoldAdmission();
    readonly held = new Map<string, number>();
    fencingNumber: number | undefined;
    /** The accepted jobs as this runner counts them while it leads. */
    counted = new Map<string, number>();

    hold(job: string, tokens: number, approvedBy: number | undefined) {
        const decision = this.admission.decide({
            tokens,
            maxWaitingTokens: LIMIT,
            isKnown: this.held.has(job),
            approvedBy,
            newestLeader: 0,
            leaderCount: this.fencingNumber === undefined ? undefined : {
                fencingNumber: this.fencingNumber,
                waitingTokens: [...this.counted].reduce((sum, [other, size]) => sum + (other === job ? 0 : size), 0),
            },
        });
        if (decision.kind === "hold") {
            this.held.set(job, tokens);
            this.counted.set(job, tokens);
        }
        return decision;
    }
}

/** Makes a runner the leader: it collects from the reachable runners. Too few answers leave it without a count. */
function lead(runners: SimulatedRunner[], opts: { leader: number; fencingNumber: number; unreachable: number[]; }) {
    const leader = runners[opts.leader]!;
    const others = runners.filter((_, index) => index !== opts.leader);
    const answering = others.filter(other => !opts.unreachable.includes(runners.indexOf(other)));
    leader.admission.promise(opts.fencingNumber);
    answering.forEach(other => other.admission.promise(opts.fencingNumber));
    leader.counted = new Map([leader, ...answering].flatMap(runner => [...runner.held]));
    const isComplete = others.length - answering.length <= TOLERABLE_LOSSES;
    leader.fencingNumber = isComplete ? opts.fencingNumber : undefined;
}

const submission = fc.record({
    kind: fc.constant("submit" as const),
    job: fc.integer({ min: 0, max: 12 }),
    /** Gateways may still take an earlier leader for the present one. */
    leader: fc.integer({ min: 0, max: RUNNERS - 1 }),
    reachable: fc.uniqueArray(fc.integer({ min: 0, max: RUNNERS - 1 }), { maxLength: RUNNERS }),
});
const election = fc.record({
    kind: fc.constant("elect" as const),
    leader: fc.integer({ min: 0, max: RUNNERS - 1 }),
    unreachable: fc.uniqueArray(fc.integer({ min: 0, max: RUNNERS - 1 }), { maxLength: 3 }),
});

// Load pattern: more jobs than the route allows come during an outage while the leader changes, old leaders go on, calls
// get lost and lost 202s make callers send their job again.
test("accepted jobs stay within the limit in any interleaving of submissions and changes of the leader", () => {
    fc.assert(
        fc.property(fc.array(fc.oneof({ weight: 4, arbitrary: submission }, election), { maxLength: 60 }), steps => {
            const runners = Array.from({ length: RUNNERS }, () => new SimulatedRunner());
            const accepted = new Map<string, number>();
            steps.forEach((step, index) => {
                if (step.kind === "elect") {
                    lead(runners, { ...step, fencingNumber: index + 1 });
                    return;
                }
                const [job, tokens] = [`job-${step.job}`, 15 + step.job];
                const approval = runners[step.leader]!.hold(job, tokens, undefined);
                if (approval.kind !== "hold") {
                    return;
                }
                const others = step.reachable.filter(runner => runner !== step.leader).slice(0, COPIES - 1);
                const held = others.map(runner => runners[runner]!.hold(job, tokens, approval.approvedBy).kind);
                if (held.filter(kind => kind === "hold").length === COPIES - 1) {
                    accepted.set(job, tokens);
                }
                const waiting = [...accepted.values()].reduce((sum, size) => sum + size, 0);
                assert.ok(waiting <= LIMIT, `${waiting} tokens wait`);
            });
        }),
        { numRuns: 2000, seed: 1 },
    );
});

test("a job of a route without a limit is held without a leader", () => {
    const inputs = { tokens: 1, isKnown: false, approvedBy: undefined, newestLeader: 9, leaderCount: undefined };
    const admission = new HoldAdmission();
    assert.equal(admission.decide({ ...inputs, maxWaitingTokens: undefined }).kind, "hold");
    assert.equal(admission.decide({ ...inputs, maxWaitingTokens: 5 }).kind, "reject");
});
