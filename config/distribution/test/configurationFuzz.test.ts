import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import type { InstanceId } from "@knapweedwood/core.ids/instanceId";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { FakeFleet } from "./fakeFleet.js";
import { sampleChange } from "./sampleChange.js";

const RUNS = 60;
const SEED = 20_261_203;
const ZONES = ["a", "b", "c"];
const TEAMS = ["cellar", "desk", "portal"];
const RECOVERY_MS = 30_000;
const NAMES = ZONES.flatMap(zone => [`entry-${zone}0`, `entry-${zone}1`, `side-${zone}0`, `side-${zone}1`]);

type Action =
    | { kind: "publish"; team: string; }
    | { kind: "rollback"; back: number; }
    | { kind: "lose-responses"; count: number; }
    | { kind: "outage"; value: boolean; }
    | { kind: "slow"; delayMs: number; }
    | { kind: "restart"; name: string; }
    | { kind: "kill"; name: string; }
    | { kind: "cut"; name: string; value: boolean; }
    | { kind: "links"; lossRate: number; duplicationRate: number; maxDelayMs: number; }
    | { kind: "wait"; durationMs: number; };

const name = fc.constantFrom(...NAMES);
const action: fc.Arbitrary<Action> = fc.oneof(
    { weight: 6, arbitrary: fc.record({ kind: fc.constant("publish" as const), team: fc.constantFrom(...TEAMS) }) },
    {
        weight: 1,
        arbitrary: fc.record({ kind: fc.constant("rollback" as const), back: fc.integer({ min: 1, max: 3 }) }),
    },
    {
        weight: 2,
        arbitrary: fc.record({ kind: fc.constant("lose-responses" as const), count: fc.integer({ min: 1, max: 3 }) }),
    },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("outage" as const), value: fc.boolean() }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("slow" as const), delayMs: fc.constantFrom(0, 50, 500) }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("restart" as const), name }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constant("kill" as const), name }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant("cut" as const), name, value: fc.boolean() }) },
    {
        weight: 2,
        arbitrary: fc.record({
            kind: fc.constant("links" as const),
            lossRate: fc.constantFrom(0, 0.2, 0.6),
            duplicationRate: fc.constantFrom(0, 0.5),
            maxDelayMs: fc.constantFrom(5, 300, 3_000),
        }),
    },
    {
        weight: 5,
        arbitrary: fc.record({ kind: fc.constant("wait" as const), durationMs: fc.constantFrom(1, 30, 400, 4_000) }),
    },
);

interface AcceptedPublish {
    revision: number;
    team: string;
    /** Undefined for a rollback. */
    weight: number | undefined;
}

/** Records which publishes were accepted or rejected, and checks the fleet's active configurations against them. */
class Oracle {
    readonly accepted: AcceptedPublish[] = [];
    readonly rejectedWeights = new Set<number>();
    private readonly digestsByRevision = new Map<number, string>();

    checkRevisions(fleet: FakeFleet): void {
        fleet.startedProcesses.forEach(({ revisions }) => {
            const isRising = revisions.every((revision, index) =>
                index === 0 || revision > (revisions[index - 1] ?? 0)
            );
            assert.ok(isRising, `revisions do not increase: ${revisions.join(", ")}`);
        });
        fleet.processes.forEach(({ configuration }) => {
            const view = configuration.current();
            if (view !== undefined) {
                const expectedDigest = this.digestsByRevision.get(view.revision) ?? view.digest;
                assert.equal(view.digest, expectedDigest, `revision ${view.revision} has two contents`);
                this.digestsByRevision.set(view.revision, expectedDigest);
            }
        });
        const numbers = this.accepted.map(publish => publish.revision);
        assert.equal(new Set(numbers).size, numbers.length, "two publishes got the same revision");
    }

    highest(): number {
        return Math.max(0, ...this.accepted.map(publish => publish.revision));
    }

    /**
     * Checks that all processes agree, that no accepted revision was undone and that no rejected publish is active. If
     * `isExact`, which requires that there was no rollback and no unknown outcome, also checks the weight of each team.
     */
    checkFinal(fleet: FakeFleet, isExact: boolean): void {
        const revisions = fleet.revisions();
        assert.equal(new Set(revisions).size, 1, `processes have different revisions: ${revisions.join(", ")}`);
        assert.ok((revisions[0] ?? 0) >= this.highest(), "an accepted revision is not active");
        const view = [...fleet.processes.values()][0]?.configuration.current();
        const weights = (view?.teams() ?? []).map(team => team.weight);
        assert.ok(weights.every(weight => !this.rejectedWeights.has(weight)), "a rejected publish is active");
        if (isExact) {
            TEAMS.forEach(team => {
                const last = this.accepted.filter(publish => publish.team === team)
                    .reduce<AcceptedPublish | undefined>(
                        (a, b) => a === undefined || b.revision > a.revision ? b : a,
                        undefined,
                    );
                const found = view?.teams().find(candidate => candidate.teamId === team);
                assert.equal(found?.weight, last?.weight, `team ${team} does not have the weight last accepted`);
            });
        }
    }
}

async function runActions(actions: Action[]): Promise<void> {
    const fleet = new FakeFleet({ seed: actions.length });
    const oracle = new Oracle();
    const pending: Promise<void>[] = [];
    let weight = 0;
    let isExact = true;
    const recordOutcome = (
        team: string,
        value: number | undefined,
        result: Promise<{ revision: number; published: boolean; }>,
    ) => {
        pending.push(result.then(
            ({ revision, published }) => {
                if (published) {
                    oracle.accepted.push({ revision, team, weight: value });
                }
            },
            (thrown: unknown) => {
                assert.ok(thrown instanceof KnapweedError, String(thrown));
                if (thrown.outcome === "unknown") {
                    isExact = false;
                }
                else if (value !== undefined) {
                    oracle.rejectedWeights.add(value);
                }
            },
        ));
    };
    const apply = async (step: Action): Promise<void> => {
        switch (step.kind) {
            case "publish":
                weight += 1;
                return recordOutcome(
                    step.team,
                    weight,
                    fleet.createPublisher().publish({
                        actor: "ann",
                        changes: [sampleChange(step.team, weight)],
                    }),
                );
            case "rollback": {
                isExact = false;
                const revision = Math.max(1, oracle.highest() - step.back) as never;
                return recordOutcome("", undefined, fleet.createPublisher().rollback({ revision, actor: "bob" }));
            }
            case "lose-responses":
                return fleet.keyValue.faults.loseNextResponses(step.count);
            case "outage":
                fleet.keyValue.faults.outage = step.value;
                return;
            case "slow":
                fleet.keyValue.faults.delayMs = step.delayMs;
                return;
            case "restart":
                fleet.kill(step.name);
                fleet.start(step.name, step.name.startsWith("entry") ? "entry" : "side", step.name.slice(-2, -1));
                return;
            case "kill":
                return fleet.kill(step.name);
            case "cut":
                return fleet.network.setCut(`${step.name}:1`, step.value);
            case "links":
                Object.assign(fleet.network, { ...step, kind: undefined });
                return;
            case "wait":
                return fleet.clock.advance(step.durationMs);
        }
    };
    NAMES.forEach(each => fleet.start(each, each.startsWith("entry") ? "entry" : "side", each.slice(-2, -1)));
    for (const step of actions) {
        await apply(step);
        oracle.checkRevisions(fleet);
    }
    clearFaults(fleet);
    await fleet.run(Promise.all(pending));
    await fleet.clock.advance(RECOVERY_MS);
    oracle.checkRevisions(fleet);
    oracle.checkFinal(fleet, isExact);
    fleet.processes.forEach(process => void process.configuration.stop());
}

/** Clears all faults and restarts killed processes. */
function clearFaults(fleet: FakeFleet): void {
    fleet.keyValue.faults.outage = false;
    fleet.keyValue.faults.delayMs = 0;
    fleet.keyValue.faults.loseNextResponses(0);
    Object.assign(fleet.network, { lossRate: 0, duplicationRate: 0, maxDelayMs: 5 });
    NAMES.forEach(each => fleet.network.setCut(`${each}:1`, false));
    NAMES.filter(each => !fleet.processes.has(each as InstanceId))
        .forEach(each => fleet.start(each, each.startsWith("entry") ? "entry" : "side", each.slice(-2, -1)));
}

test("an accepted revision is never undone, and all processes agree once faults end", async () => {
    await fc.assert(
        fc.asyncProperty(fc.array(action, { minLength: 5, maxLength: 40 }), runActions),
        { seed: SEED, numRuns: RUNS },
    );
});
