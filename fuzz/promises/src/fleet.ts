import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { MemorySegmentStore } from "./memorySegmentStore.js";
import { SimulatedEntry } from "./simulatedEntry.js";
import { SimulatedSide } from "./simulatedSide.js";
import type { SimulationOptions } from "./simulationOptions.js";
import { SimulationPlatform } from "./simulationPlatform.js";

const START_MS = 1_700_000_000_000;
const ENTRY_COUNT = 3;
const SIDE_SERVICES = ["chat", "chat", "chat", "ledger", "ledger"];
const RESTART_DELAY_MS = 1500;
const SETTLE_STEP_MS = 100;
const MAX_SETTLE_STEPS = 1000;

/**
 * A simulated fleet on a manual clock: three entries, each in its own availability zone, and five sides.
 *
 * A process that ends is replaced after 1.5 s of simulated time. An entry's replacement keeps its data folder.
 */
export class Fleet {
    readonly clock = new ManualClock(START_MS);
    readonly platform: SimulationPlatform;
    readonly dataFolders: MemorySegmentStore[];
    readonly entries: SimulatedEntry[];
    readonly sides: SimulatedSide[];
    private readonly seed: number;
    private incarnationCount = 0;

    constructor(opts: { seed: number; options: SimulationOptions; }) {
        this.seed = opts.seed;
        this.platform = new SimulationPlatform({ clock: this.clock, options: opts.options });
        this.dataFolders = Array.from({ length: ENTRY_COUNT }, () => new MemorySegmentStore());
        this.entries = this.dataFolders.map((_, index) => this.createEntry(index));
        this.platform.holders = () =>
            this.entries.filter(entry => !entry.lifecycle.dead).map(entry => ({
                instanceId: entry.instanceId,
                zone: entry.zone,
                address: entry.address,
            }));
        this.sides = SIDE_SERVICES.map((_, index) => this.createSide(index));
        this.entries.forEach(entry => entry.start());
        this.sides.forEach(side => side.start());
    }

    /** Advances the simulated time by `durationMs` milliseconds. */
    advance(durationMs: number): Promise<void> {
        return this.clock.advance(durationMs);
    }

    /** Returns the ids of all leases granted to the live entries, including revoked and expired ones. */
    leaseIds(): string[] {
        return this.entries.filter(entry => !entry.lifecycle.dead).flatMap(entry => [...entry.leaseIds]);
    }

    /** Advances the simulated time until `work` settles, by 100 s at most. @returns its result */
    async runUntilSettled<Value>(work: Promise<Value>): Promise<Value> {
        const progress = { isDone: false };
        const marked = work.finally(() => progress.isDone = true);
        marked.catch(() => undefined);
        for (let step = 0; !progress.isDone && step < MAX_SETTLE_STEPS; step++) {
            await this.advance(SETTLE_STEP_MS);
        }
        return await marked;
    }

    /** Returns the first entry from `preferred` on that is neither dead nor paused, if any. */
    availableEntry(preferred: number): SimulatedEntry | undefined {
        const order = this.entries.map((_, offset) => this.entries[(preferred + offset) % ENTRY_COUNT]);
        return order.find(entry => !entry.lifecycle.dead && !entry.lifecycle.paused);
    }

    /** Ends an entry without a handover. */
    crashEntry(index: number): void {
        this.entries[index].crash();
        this.clock.setTimer(RESTART_DELAY_MS, () => this.replaceEntry(index));
    }

    /** Stops an entry as planned. Resolves once it has handed over its partitions and claim shards. */
    async stopEntry(index: number): Promise<void> {
        await this.entries[index].stop();
        this.clock.setTimer(RESTART_DELAY_MS, () => this.replaceEntry(index));
    }

    /** Ends a side at once; does nothing if it is already dead. */
    crashSide(index: number): void {
        if (this.sides[index].lifecycle.dead) {
            return;
        }
        this.sides[index].crash();
        this.clock.setTimer(RESTART_DELAY_MS, () => {
            this.sides[index] = this.createSide(index);
            this.sides[index].start();
        });
    }

    /** Ends all faults: of the key-value service, the network, the disks and the instances. */
    clearFaults(): void {
        this.platform.keyValue.faults.outage = false;
        this.platform.keyValue.faults.loseNextResponses(0);
        this.platform.keyValue.faults.delayMs = 0;
        this.platform.network.clearFaults();
        this.dataFolders.forEach(folder => folder.isFull = false);
        this.entries.forEach(entry => entry.lifecycle.resume());
        this.sides.forEach(side => side.lifecycle.resume());
    }

    private replaceEntry(index: number): void {
        if (this.entries[index].lifecycle.dead) {
            this.entries[index] = this.createEntry(index);
            this.entries[index].start();
        }
    }

    private createEntry(index: number): SimulatedEntry {
        return new SimulatedEntry({
            platform: this.platform,
            index,
            incarnation: this.incarnationCount++,
            seed: this.nextSeed(),
            dataFolder: this.dataFolders[index],
        });
    }

    private createSide(index: number): SimulatedSide {
        return new SimulatedSide({
            platform: this.platform,
            index,
            incarnation: this.incarnationCount++,
            service: SIDE_SERVICES[index],
            seed: this.nextSeed(),
            entries: () => this.entries.filter(entry => !entry.lifecycle.dead).map(entry => entry.address),
            onCrash: () => this.crashSide(index),
        });
    }

    private nextSeed(): number {
        return this.seed * 1000 + this.incarnationCount;
    }
}
