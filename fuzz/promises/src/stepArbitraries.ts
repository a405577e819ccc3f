import fc from "fast-check";
import type { ItemBehaviour, Step } from "./step.js";

const index = fc.nat({ max: 5 });
const key = fc.nat({ max: 3 });
const shortMs = fc.integer({ min: 100, max: 3000 });
const longMs = fc.integer({ min: 1000, max: 12_000 });
const count = fc.integer({ min: 1, max: 3 });
const behaviours = fc.array(
    fc.oneof(
        { weight: 12, arbitrary: fc.constant<ItemBehaviour>("answer") },
        { weight: 2, arbitrary: fc.constantFrom<ItemBehaviour>("slow", "slow", "reject", "fail", "crash") },
    ),
    { minLength: 1, maxLength: 16 },
);

function stepOf<Kind extends Step["kind"]>(
    kind: Kind,
    fields: { [Field in Exclude<keyof Extract<Step, { kind: Kind; }>, "kind">]: fc.Arbitrary<unknown>; },
): fc.Arbitrary<Step> {
    return fc.record({ kind: fc.constant(kind), ...fields }) as unknown as fc.Arbitrary<Step>;
}

/**
 * The generators of the steps of a fuzz case, each drawn with the same probability. Shape [generators].
 *
 * Submissions, keyed calls and waits are listed twice, so that work is more frequent than any one fault.
 */
export const stepArbitraries: fc.Arbitrary<Step>[] = [
    stepOf("submit", {
        entry: index,
        key,
        service: fc.constantFrom("chat", "ledger"),
        behaviours,
        twice: fc.boolean(),
    }),
    stepOf("submit", {
        entry: index,
        key,
        service: fc.constantFrom("chat", "ledger"),
        behaviours,
        twice: fc.boolean(),
    }),
    stepOf("resend", { entry: index, job: index }),
    stepOf("cancel", { entry: index, job: index }),
    stepOf("read", { entry: index, job: index }),
    stepOf("keyed-call", { entry: index, key, runMs: shortMs, loseAnswer: fc.boolean(), twice: fc.boolean() }),
    stepOf("keyed-call", {
        entry: index,
        key,
        runMs: shortMs,
        loseAnswer: fc.constant(false),
        twice: fc.boolean(),
    }),
    stepOf("crash-entry", { entry: index }),
    stepOf("stop-entry", { entry: index }),
    stepOf("pause-entry", { entry: index, durationMs: longMs }),
    stepOf("crash-side", { side: index }),
    stepOf("pause-side", { side: index, durationMs: longMs }),
    stepOf("outage", { durationMs: longMs }),
    stepOf("slow-writes", { delayMs: fc.integer({ min: 20, max: 400 }), durationMs: longMs }),
    stepOf("lose-write-answers", { count }),
    stepOf("lose-call-answers", { count }),
    stepOf("duplicate-calls", { count }),
    stepOf("silence", { entry: index, side: index, durationMs: longMs }),
    stepOf("lapse-leases", {}),
    stepOf("fill-disk", { entry: index, durationMs: longMs }),
    stepOf("tear-folder", {}),
    stepOf("wait", { durationMs: shortMs }),
    stepOf("wait", { durationMs: longMs }),
];
