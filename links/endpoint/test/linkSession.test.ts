import * as fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { SessionPair } from "./sessionPair.js";

interface SessionModel {
    /** Whether the accepting end was ever replaced, so that calls may fail. */
    wasReplaced: boolean;
}

type SessionCommand = fc.AsyncCommand<SessionModel, SessionPair>;

const RUNS = 400;
const SEED = 20_261_203;

function command(
    name: string,
    action: (pair: SessionPair, model: SessionModel) => Promise<void> | void,
): SessionCommand {
    return {
        check: () => true,
        run: async (model, pair) => {
            await action(pair, model);
            assertInvariants(pair);
        },
        toString: () => name,
    };
}

/** Asserts the invariants that hold at any time. */
function assertInvariants(pair: SessionPair): void {
    pair.calls.forEach(call => {
        const runs = pair.runCounts.get(call.id) ?? 0;
        assert.ok(runs <= 1, "a handler runs at most once for a request");
        assert.deepEqual(call.read, call.read.map((_, index) => index), "frames are read in order, each once");
        assert.ok(call.read.length <= call.frameCount);
        if (call.ended && call.error === undefined) {
            assert.equal(call.read.length, call.frameCount, "a response without an error is complete");
            assert.equal(runs, 1);
        }
        if (call.error?.outcome === "not-run") {
            assert.equal(runs, 0, "a call that ended as not-run was not run");
        }
    });
}

const end = fc.integer({ min: 0, max: 1 });
const commands = fc.commands(
    [
        fc.tuple(end, fc.integer({ min: 0, max: 12 }), fc.integer({ min: 0, max: 200 })).map(parts =>
            command(`start(${parts.join()})`, pair => pair.start(...parts))
        ),
        fc.tuple(end, fc.integer({ min: 1, max: 6 })).map(parts =>
            command(`deliver(${parts.join()})`, pair => pair.deliver(...parts))
        ),
        fc.tuple(end, fc.integer({ min: 1, max: 6 })).map(parts =>
            command(`deliver(${parts.join()})`, pair => pair.deliver(...parts))
        ),
        end.map(from => command(`duplicate(${from})`, pair => pair.duplicate(from))),
        end.map(at => command(`acknowledge(${at})`, pair => pair.acknowledge(at))),
        fc.constant(command("cut", pair => pair.cut())),
        fc.boolean().map(isLost => command(`reconnect(${isLost})`, pair => pair.reconnect(isLost))),
        fc.constant(command("replaceAcceptor", async (pair, model) => {
            model.wasReplaced = true;
            await pair.replaceAcceptor();
        })),
    ],
    { maxCommands: 60, size: "max" },
);

test("every call ends complete or with the right error, whatever happens to its connections", async () => {
    await fc.assert(
        fc.asyncProperty(commands, async generated => {
            const pair = new SessionPair();
            const model: SessionModel = { wasReplaced: false };
            await fc.asyncModelRun(() => ({ model, real: pair }), generated);
            await pair.drain();
            assertInvariants(pair);
            assert.ok(pair.calls.every(call => call.ended), "every call has ended");
            if (!model.wasReplaced) {
                assert.ok(pair.calls.every(call => call.error === undefined), "no call fails over cut connections");
            }
        }),
        { numRuns: RUNS, seed: SEED },
    );
});
