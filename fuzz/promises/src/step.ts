/**
 * How an item of a submitted job behaves at its upstream.
 *
 * `answer` completes, `slow` streams chunks before it completes, `reject` and `fail` end with an error, and `crash`
 * crashes the side that runs the item.
 */
export type ItemBehaviour = "answer" | "slow" | "reject" | "fail" | "crash";

/**
 * One step of a fuzz case. An index beyond the last entry, side, folder or job wraps around.
 *
 * `silence` makes an entry and a side unreachable from each other. `lapse-leases` expires the leases of all live
 * entries. `tear-folder` truncates the segments of one data folder.
 */
export type Step =
    | {
        kind: "submit";
        entry: number;
        key: number;
        service: "chat" | "ledger";
        behaviours: ItemBehaviour[];
        twice: boolean;
    }
    | { kind: "resend"; entry: number; job: number; }
    | { kind: "cancel"; entry: number; job: number; }
    | { kind: "read"; entry: number; job: number; }
    | { kind: "keyed-call"; entry: number; key: number; runMs: number; loseAnswer: boolean; twice: boolean; }
    | { kind: "crash-entry"; entry: number; }
    | { kind: "stop-entry"; entry: number; }
    | { kind: "pause-entry"; entry: number; durationMs: number; }
    | { kind: "crash-side"; side: number; }
    | { kind: "pause-side"; side: number; durationMs: number; }
    | { kind: "outage"; durationMs: number; }
    | { kind: "slow-writes"; delayMs: number; durationMs: number; }
    | { kind: "lose-write-answers"; count: number; }
    | { kind: "lose-call-answers"; count: number; }
    | { kind: "duplicate-calls"; count: number; }
    | { kind: "silence"; entry: number; side: number; durationMs: number; }
    | { kind: "lapse-leases"; }
    | { kind: "fill-disk"; entry: number; durationMs: number; }
    | { kind: "tear-folder"; }
    | { kind: "wait"; durationMs: number; };
