import type { TeamId } from "@knapweedwood/core.ids/teamId";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { WeightedFairQueue } from "../src/weightedFairQueue.js";

const SEED = 20_261_203;
const MAX_COST = 5;
const teams = ["a", "b", "c"] as TeamId[];

test("teams with queued items are served by weight, to within one item each", () => {
    const weights = fc.array(fc.integer({ min: 1, max: 8 }), { minLength: 3, maxLength: 3 });
    const costs = fc.array(fc.integer({ min: 1, max: MAX_COST }), { minLength: 60, maxLength: 60 });
    fc.assert(
        fc.property(weights, costs, (teamWeights, itemCosts) => {
            const queue = new WeightedFairQueue<{ team: number; cost: number; }>();
            itemCosts.forEach((cost, index) => {
                const team = index % 3;
                queue.enqueue({ item: { team, cost }, teamId: teams[team], weight: teamWeights[team], cost });
            });
            const served = [0, 0, 0];
            while (teams.every(teamId => queue.sizeOf(teamId) > 0)) {
                const { team, cost } = queue.dequeue()!;
                served[team] += cost;
                const normalized = served.map((sum, index) => sum / teamWeights[index]);
                teamWeights.forEach((weight, left) =>
                    teamWeights.forEach((otherWeight, right) => {
                        const difference = Math.abs(normalized[left] - normalized[right]);
                        assert.ok(difference <= MAX_COST / weight + MAX_COST / otherWeight + 1e-9);
                    })
                );
            }
        }),
        { seed: SEED },
    );
});

test("compared with a list: every item is dequeued once, in its team's order, and removed items never", () => {
    const action = fc.oneof(
        fc.record({ kind: fc.constant("enqueue" as const), team: fc.nat(2), cost: fc.integer({ min: 1, max: 5 }) }),
        fc.record({ kind: fc.constant("dequeue" as const), team: fc.constant(0), cost: fc.constant(0) }),
        fc.record({ kind: fc.constant("remove" as const), team: fc.nat(2), cost: fc.nat(5) }),
    );
    fc.assert(
        fc.property(fc.array(action, { maxLength: 100 }), actions => {
            const queue = new WeightedFairQueue<number>();
            const waiting: number[][] = [[], [], []];
            actions.forEach(({ kind, team, cost }, item) => {
                if (kind === "enqueue") {
                    queue.enqueue({ item, teamId: teams[team], weight: 1, cost });
                    waiting[team].push(item);
                }
                else if (kind === "remove") {
                    const [removed] = waiting[team].splice(cost, 1);
                    assert.equal(queue.remove(teams[team], removed), removed !== undefined);
                }
                else {
                    const served = queue.dequeue();
                    const owner = waiting.find(list => list[0] === served && served !== undefined);
                    assert.equal(owner !== undefined, waiting.some(list => list.length > 0));
                    owner?.shift();
                }
                assert.equal(queue.size, waiting.flat().length);
            });
        }),
        { seed: SEED },
    );
});

test("a long queue of one team delays another team's next item by at most one item", () => {
    const queue = new WeightedFairQueue<string>();
    Array.from({ length: 1000 }, () => queue.enqueue({ item: "flood", teamId: teams[0], weight: 1, cost: 1 }));
    Array.from({ length: 100 }, () => queue.dequeue());
    queue.enqueue({ item: "quiet", teamId: teams[1], weight: 1, cost: 1 });
    assert.ok([queue.dequeue(), queue.dequeue()].includes("quiet"));
});
