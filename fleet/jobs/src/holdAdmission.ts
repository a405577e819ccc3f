import type { HoldDecision } from "./holdDecision.js";
import type { LeaderCount } from "./leaderCount.js";

interface HoldInputs {
    /** Tokens of the job. */
    tokens: number;
    /** Maximum of waiting tokens on the job's route; undefined for no limit. */
    maxWaitingTokens: number | undefined;
    /** Whether this runner already knows the job as accepted. */
    isKnown: boolean;
    /** Fencing number of the leader that approved the job; undefined before one has. */
    approvedBy: number | undefined;
    /** Fencing number of the newest leader that this runner has heard of from others; 0 for none. */
    newestLeader: number;
    /** What this runner counts as the leader; undefined unless it leads and knows all jobs. */
    leaderCount: LeaderCount | undefined;
}

/**
 * Decides at a runner whether to hold a job, so that held jobs never exceed the waiting tokens of their route.
 *
 * Only the leader approves jobs of a route with a limit. A new leader first collects the held jobs of so many runners
 * that each accepted one is among them. By answering it, a runner promises to hold nothing more that an earlier leader
 * approves. So an earlier leader that doesn't know yet that it was replaced can't get enough copies.
 *
 * Load pattern: a burst of jobs during an outage of the key-value service, in which the leader changes.
 */
export class HoldAdmission {
    private promisedTo = 0;

    /** Promises the leader with this fencing number to hold nothing more that an earlier one approves. */
    promise(fencingNumber: number): void {
        this.promisedTo = Math.max(this.promisedTo, fencingNumber);
    }

    decide(inputs: HoldInputs): HoldDecision {
        const { leaderCount, approvedBy, maxWaitingTokens } = inputs;
        const newestLeader = Math.max(this.promisedTo, inputs.newestLeader);
        if (maxWaitingTokens === undefined) {
            return { kind: "hold", approvedBy };
        }
        if (leaderCount !== undefined && leaderCount.fencingNumber >= newestLeader) {
            const isOverLimit = leaderCount.waitingTokens + inputs.tokens > maxWaitingTokens;
            return isOverLimit && !inputs.isKnown
                ? { kind: "over-limit" }
                : { kind: "hold", approvedBy: leaderCount.fencingNumber };
        }
        return approvedBy !== undefined && approvedBy >= newestLeader
            ? { kind: "hold", approvedBy }
            : { kind: "reject" };
    }
}
