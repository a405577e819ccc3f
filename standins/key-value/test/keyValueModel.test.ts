import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import type { KeyValueCompare } from "@knapweedwood/core.key-value/keyValueCompare";
import type { KeyValueOperation } from "@knapweedwood/core.key-value/keyValueOperation";
import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { MemoryKeyValueService } from "../src/memoryKeyValueService.js";

const SEED = 20261203;
const KEYS = ["a", "ab", "b"];
const TTL_MS = 100;

interface ModelEntry {
    text: string;
    modRevision: number;
    lease: number | undefined;
}

/** Model of the expected state of the service. Leases are numbered in the order in which they were granted. */
class Model {
    revision = 1;
    entries = new Map<string, ModelEntry>();
    leaseExpiryMs: number[] = [];
    nowMs = 0;
    /**
     * State after each revision, as a watch from the first revision rebuilds it. Undefined between leases that expire
     * in the same millisecond, because the order of their expiry is not defined.
     */
    history: (string | undefined)[] = [];

    isLive(lease: number): boolean {
        return (this.leaseExpiryMs[lease] ?? 0) > this.nowMs;
    }

    record(isOrderDefined = true): void {
        this.revision += 1;
        this.history.push(isOrderDefined ? textOf(this.entries) : undefined);
    }
}

interface System {
    service: MemoryKeyValueService;
    clock: ManualClock;
    leaseIds: string[];
}

type Command = fc.AsyncCommand<Model, System>;

function textOf(entries: Map<string, ModelEntry>): string {
    return [...entries].sort().map(([key, entry]) => `${key}=${entry.text}`).join(" ");
}

class Transact implements Command {
    private readonly compare: { key: string; isMatch: boolean; };
    private readonly changes: { key: string; text: string | undefined; lease: number | undefined; }[];
    private readonly losesResponse: boolean;

    constructor(compare: Transact["compare"], changes: Transact["changes"], losesResponse: boolean) {
        this.compare = compare;
        this.changes = changes;
        this.losesResponse = losesResponse;
    }

    check(): boolean {
        return true;
    }

    async run(model: Model, system: System): Promise<void> {
        const changes = this.changes.map(change => ({
            ...change,
            lease: model.leaseExpiryMs.length === 0 || change.lease === undefined
                ? undefined
                : change.lease % model.leaseExpiryMs.length,
        }));
        const modRevision = model.entries.get(this.compare.key)?.modRevision ?? 0;
        const compares: KeyValueCompare[] = [{
            key: this.compare.key,
            modRevision: this.compare.isMatch ? modRevision : modRevision + 1,
        }];
        const operations = changes.map((change): KeyValueOperation =>
            change.text === undefined
                ? { kind: "delete", key: change.key }
                : {
                    kind: "put",
                    key: change.key,
                    value: Buffer.from(change.text),
                    leaseId: change.lease === undefined ? undefined : system.leaseIds[change.lease],
                }
        );
        system.service.faults.loseNextResponses(this.losesResponse ? 1 : 0);
        const call = system.service.transact(compares, operations);
        const usesExpiredLease = changes.some(change =>
            change.text !== undefined && change.lease !== undefined && !model.isLive(change.lease)
        );
        if (usesExpiredLease) {
            await assert.rejects(call, { code: "ERR_KNAPWEED_KEY_VALUE_LEASE_NOT_FOUND" });
            return;
        }
        if (this.compare.isMatch) {
            applyTo(model, changes);
        }
        if (this.losesResponse) {
            await assert.rejects(call, { code: "ERR_KNAPWEED_KEY_VALUE_ANSWER_LOST" });
            return;
        }
        const result = await call;
        assert.equal(result.succeeded, this.compare.isMatch);
        assert.equal(result.revision, model.revision);
    }

    toString(): string {
        return `transact(${JSON.stringify([this.compare, this.changes, this.losesResponse])})`;
    }
}

function applyTo(model: Model, changes: { key: string; text: string | undefined; lease: number | undefined; }[]): void {
    const effective = changes.filter(change => change.text !== undefined || model.entries.has(change.key));
    effective.forEach(change => {
        if (change.text === undefined) {
            model.entries.delete(change.key);
            return;
        }
        model.entries.set(change.key, { text: change.text, modRevision: model.revision + 1, lease: change.lease });
    });
    if (effective.length > 0) {
        model.record();
    }
}

class Grant implements Command {
    check(): boolean {
        return true;
    }

    async run(model: Model, system: System): Promise<void> {
        system.service.faults.loseNextResponses(0);
        system.leaseIds.push(await system.service.grantLease(TTL_MS));
        model.leaseExpiryMs.push(model.nowMs + TTL_MS);
    }

    toString(): string {
        return "grant()";
    }
}

class KeepAlive implements Command {
    private readonly choice: number;

    constructor(choice: number) {
        this.choice = choice;
    }

    check(model: Readonly<Model>): boolean {
        return model.leaseExpiryMs.length > 0;
    }

    async run(model: Model, system: System): Promise<void> {
        const lease = this.choice % model.leaseExpiryMs.length;
        const leftMs = await system.service.keepLeaseAlive(system.leaseIds[lease] ?? "");
        assert.equal(leftMs, model.isLive(lease) ? TTL_MS : 0);
        if (model.isLive(lease)) {
            model.leaseExpiryMs[lease] = model.nowMs + TTL_MS;
        }
    }

    toString(): string {
        return `keepAlive(${this.choice})`;
    }
}

class Advance implements Command {
    private readonly durationMs: number;

    constructor(durationMs: number) {
        this.durationMs = durationMs;
    }

    check(): boolean {
        return true;
    }

    async run(model: Model, system: System): Promise<void> {
        await system.clock.advance(this.durationMs);
        const endMs = model.nowMs + this.durationMs;
        const expiring = model.leaseExpiryMs
            .map((expiryMs, lease) => ({ expiryMs, lease }))
            .filter(candidate => candidate.expiryMs > model.nowMs && candidate.expiryMs <= endMs)
            .sort((left, right) => left.expiryMs - right.expiryMs || left.lease - right.lease);
        model.nowMs = endMs;
        const entriesOf = (lease: number) => [...model.entries].filter(([, entry]) => entry.lease === lease);
        const effective = expiring.filter(({ lease }) => entriesOf(lease).length > 0);
        effective.forEach(({ lease, expiryMs }, index) => {
            entriesOf(lease).forEach(([key]) => model.entries.delete(key));
            model.record(effective[index + 1]?.expiryMs !== expiryMs);
        });
    }

    toString(): string {
        return `advance(${this.durationMs})`;
    }
}

class CheckState implements Command {
    private readonly prefix: string;

    constructor(prefix: string) {
        this.prefix = prefix;
    }

    check(): boolean {
        return true;
    }

    async run(model: Model, system: System): Promise<void> {
        const listed = await system.service.list(this.prefix);
        const expected = [...model.entries].filter(([key]) => key.startsWith(this.prefix)).sort();
        assert.deepEqual(
            listed.map(entry => [entry.key, Buffer.from(entry.value).toString(), entry.modRevision]),
            expected.map(([key, entry]) => [key, entry.text, entry.modRevision]),
        );
    }

    toString(): string {
        return `list(${this.prefix})`;
    }
}

async function checkWatch(model: Model, service: MemoryKeyValueService): Promise<void> {
    const controller = new AbortController();
    const rebuilt = new Map<string, ModelEntry>();
    const states: string[] = [];
    if (model.history.length === 0) {
        return;
    }
    for await (const batch of service.watch("", { afterRevision: 0, signal: controller.signal })) {
        batch.puts.forEach(entry =>
            rebuilt.set(entry.key, { text: Buffer.from(entry.value).toString(), modRevision: 0, lease: undefined })
        );
        batch.deletedKeys.forEach(key => rebuilt.delete(key));
        states.push(textOf(rebuilt));
        if (batch.revision === model.revision) {
            break;
        }
    }
    assert.equal(states.length, model.history.length);
    assert.deepEqual(
        states.map((state, index) => model.history[index] === undefined ? undefined : state),
        model.history,
    );
}

test("the in-memory key-value service behaves like the model", async () => {
    const key = fc.constantFrom(...KEYS);
    const change = fc.record({
        key,
        text: fc.option(fc.constantFrom("1", "2", "3"), { nil: undefined }),
        lease: fc.option(fc.nat(7), { nil: undefined }),
    });
    const changes = fc.uniqueArray(change, { selector: value => value.key, minLength: 0, maxLength: 3 });
    const compare = fc.record({ key, isMatch: fc.boolean() });
    const commands = fc.commands<Model, System, false>([
        fc.tuple(compare, changes, fc.boolean()).map(parts => new Transact(...parts)),
        fc.constant(new Grant()),
        fc.nat(7).map(choice => new KeepAlive(choice)),
        fc.integer({ min: 1, max: 2 * TTL_MS }).map(durationMs => new Advance(durationMs)),
        fc.constantFrom("", "a", "b").map(prefix => new CheckState(prefix)),
    ], { maxCommands: 100, size: "max" });
    await fc.assert(
        fc.asyncProperty(commands, async sequence => {
            const clock = new ManualClock();
            const service = new MemoryKeyValueService({ clock });
            const model = new Model();
            await fc.asyncModelRun(() => ({ model, real: { service, clock, leaseIds: [] } }), sequence);
            await new CheckState("").run(model, { service, clock, leaseIds: [] });
            await checkWatch(model, service);
        }),
        { seed: SEED, numRuns: 200 },
    );
});
