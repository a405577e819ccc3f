import assert from "node:assert/strict";
import { test } from "node:test";
import { initialState, type ProtocolState, successorsOf } from "./commitProtocol.js";

const MAX_STATES = 500_000;

interface Exploration {
    states: ProtocolState[];
    doubleCommit: ProtocolState | undefined;
    /** Predecessors of each state, as indexes into `states`. */
    predecessors: number[][];
}

function explore(opts: { checksFencing: boolean; }): Exploration {
    const states = [initialState];
    const indexes = new Map([[JSON.stringify(initialState), 0]]);
    const predecessors: number[][] = [[]];
    const hasDoubleCommit = (state: ProtocolState) => state.commitCounts.some(count => count > 1);
    let doubleCommit: ProtocolState | undefined;
    for (let position = 0; position < states.length && states.length < MAX_STATES; position++) {
        if (hasDoubleCommit(states[position])) {
            doubleCommit = states[position];
            break;
        }
        successorsOf(states[position], opts).forEach(next => {
            const key = JSON.stringify(next);
            const knownIndex = indexes.get(key) ?? states.push(next) - 1;
            indexes.set(key, knownIndex);
            (predecessors[knownIndex] ??= []).push(position);
        });
    }
    return { states, doubleCommit, predecessors };
}

test("no reachable state has an item committed twice, and every state can still reach completion", () => {
    const { states, doubleCommit, predecessors } = explore({ checksFencing: true });
    assert.ok(states.length < MAX_STATES);
    assert.equal(doubleCommit, undefined);
    const canComplete = new Set(states.flatMap((state, index) => state.committed.length === 3 ? [index] : []));
    const queue = [...canComplete];
    for (let index = queue.pop(); index !== undefined; index = queue.pop()) {
        predecessors[index].filter(previous => !canComplete.has(previous)).forEach(previous => {
            canComplete.add(previous);
            queue.push(previous);
        });
    }
    const stuck = states.find((_, index) => !canComplete.has(index));
    assert.equal(stuck, undefined, JSON.stringify(stuck));
});

test("without the fencing check, the same exploration finds an item committed twice", () => {
    assert.notEqual(explore({ checksFencing: false }).doubleCommit, undefined);
});
