import type { RunBehaviour } from "./runBehaviour.js";

/** A runner by its index, modulo their number, or the one that holds the leader key. */
type Target = number | "leader";

interface SubmitStep {
    kind: "submit";
    /** Number of jobs that are submitted at once. */
    jobs: number;
    /** Items of each job. */
    items: number;
    retentionMs: number;
    /**
     * `held` keeps copies on the disks of the running runners. `both` also stores the job, `delayMs` later; `resent` stores
     * it first and keeps copies `delayMs` later. The later ones are accepted later.
     */
    via: "store" | "held" | "both" | "resent";
    delayMs: number;
    /** Time for which a runner is down as soon as it holds a copy, which stays on its disk; undefined for none. */
    holderDownMs: number | undefined;
    /** How each run of the items goes, if none of them can be done; undefined otherwise. */
    failsAs: "failed" | "impossible" | undefined;
}

/** A disturbance of one runner. */
export type TargetStep =
    | { kind: "kill"; target: Target; downMs: number; }
    /** An orderly stop: the process hands over its jobs first. */
    | { kind: "replace"; target: Target; downMs: number; }
    | { kind: "freeze"; target: Target; durationMs: number; stopsClock: boolean; }
    | { kind: "cut-off"; target: Target; state: "rejected" | "silent"; durationMs: number; }
    | { kind: "lose-responses"; target: Target; count: number; }
    | { kind: "late-writes"; target: Target; delaysMs: number[]; }
    | { kind: "slow-reads"; target: Target; maxDelayMs: number; };

/** One step of a simulation. Jobs are chosen by index, modulo their number; times are in milliseconds. */
export type FleetStep =
    | SubmitStep
    | TargetStep
    | { kind: "cancel"; job: number; }
    /** Disturbs a runner as soon as results of a job have been removed, while the job itself has not. */
    | { kind: "at-removal"; disturbance: TargetStep; }
    | { kind: "lose-power"; downMs: number; }
    | { kind: "end-lease"; }
    | { kind: "run"; behaviours: RunBehaviour[]; }
    | { kind: "wait"; };
