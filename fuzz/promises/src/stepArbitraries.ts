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

function stepArbitrary<Kind extends Step["kind"]>(
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
    stepArbitrary("submit", {
        entry: index,
        key,
        service: fc.constantFrom("chat", "ledger"),
        behaviours,
        twice: fc.boolean(),
    }),
    stepArbitrary("submit", {
        entry: index,
        key,
        service: fc.constantFrom("chat", "ledger"),
        behaviours,
        twice: fc.boolean(),
    }),
    stepArbitrary("resend", { entry: index, job: index }),
    stepArbitrary("cancel", { entry: index, job: index }),
    stepArbitrary("read", { entry: index, job: index }),
    stepArbitrary("keyed-call", { entry: index, key, runMs: shortMs, loseAnswer: fc.boolean(), twice: fc.boolean() }),
    stepArbitrary("keyed-call", {
        entry: index,
        key,
        runMs: shortMs,
        loseAnswer: fc.constant(false),
        twice: fc.boolean(),
    }),
    stepArbitrary("crash-entry", { entry: index }),
    stepArbitrary("stop-entry", { entry: index }),
    stepArbitrary("pause-entry", { entry: index, durationMs: longMs }),
    stepArbitrary("crash-side", { side: index }),
    stepArbitrary("pause-side", { side: index, durationMs: longMs }),
    stepArbitrary("outage", { durationMs: longMs }),
    stepArbitrary("slow-writes", { delayMs: fc.integer({ min: 20, max: 400 }), durationMs: longMs }),
    stepArbitrary("lose-write-answers", { count }),
    stepArbitrary("lose-call-answers", { count }),
    stepArbitrary("duplicate-calls", { count }),
    stepArbitrary("silence", { entry: index, side: index, durationMs: longMs }),
    stepArbitrary("lapse-leases", {}),
    stepArbitrary("fill-disk", { entry: index, durationMs: longMs }),
    stepArbitrary("tear-folder", {}),
    stepArbitrary("wait", { durationMs: shortMs }),
    stepArbitrary("wait", { durationMs: longMs }),
];
