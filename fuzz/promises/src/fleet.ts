import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { MemorySegmentStore } from "./memorySegmentStore.js";
import { SimulatedEntry } from "./simulatedEntry.js";
import { SimulatedSide } from "./simulatedSide.js";
import type { SimulationOptions } from "./simulationOptions.js";
import { SimulationPlatform } from "./simulationPlatform.js";

const START_MS = 1_700_000_000_000;
const ENTRY_COUNT = 3;
const SERVICES = ["chat", "chat", "chat", "ledger", "ledger"];
const RESTART_MS = 1500;
const COMPLETE_STEP_MS = 100;
const MAX_COMPLETE_STEPS = 1000;

/** A simulated fleet: three entries in three zones and five sides. Processes that end are replaced. */
export class Fleet {
    readonly clock = new ManualClock(START_MS);
    readonly platform: SimulationPlatform;
    readonly dataFolders: MemorySegmentStore[];
    readonly entries: SimulatedEntry[];
    readonly sides: SimulatedSide[];
    private readonly seed: number;
    private startCount = 0;

    constructor(opts: { seed: number; options: SimulationOptions; }) {
        this.seed = opts.seed;
        this.platform = new SimulationPlatform({ clock: this.clock, options: opts.options });
        this.dataFolders = Array.from({ length: ENTRY_COUNT }, () => new MemorySegmentStore());
        this.entries = this.dataFolders.map((_, index) => this.createEntry(index));
        this.platform.holders = () =>
            this.entries.filter(entry => !entry.gate.dead).map(entry => ({
                instanceId: entry.instanceId,
                zone: entry.zone,
                address: entry.address,
            }));
        this.sides = SERVICES.map((_, index) => this.createSide(index));
        this.entries.forEach(entry => entry.start());
        this.sides.forEach(side => side.start());
    }

    advance(durationMs: number): Promise<void> {
        return this.clock.advance(durationMs);
    }

    leaseIds(): string[] {
        return this.entries.filter(entry => !entry.gate.dead).flatMap(entry => [...entry.leaseIds]);
    }

    /** Lets time pass until `work` is done. */
    async complete<Value>(work: Promise<Value>): Promise<Value> {
        const progress = { isDone: false };
        const marked = work.finally(() => progress.isDone = true);
        marked.catch(() => undefined);
        for (let step = 0; !progress.isDone && step < MAX_COMPLETE_STEPS; step++) {
            await this.advance(COMPLETE_STEP_MS);
        }
        return await marked;
    }

    /** An entry that can take a call now. */
    liveEntry(preferred: number): SimulatedEntry | undefined {
        const order = this.entries.map((_, offset) => this.entries[(preferred + offset) % ENTRY_COUNT]);
        return order.find(entry => !entry.gate.dead && !entry.gate.paused);
    }

    crashEntry(index: number): void {
        this.entries[index].crash();
        this.clock.setTimer(RESTART_MS, () => this.replaceEntry(index));
    }

    async stopEntry(index: number): Promise<void> {
        await this.entries[index].stop();
        this.clock.setTimer(RESTART_MS, () => this.replaceEntry(index));
    }

    crashSide(index: number): void {
        if (this.sides[index].gate.dead) {
            return;
        }
        this.sides[index].crash();
        this.clock.setTimer(RESTART_MS, () => {
            this.sides[index] = this.createSide(index);
            this.sides[index].start();
        });
    }

    /** Ends all faults. */
    heal(): void {
        this.platform.keyValue.faults.outage = false;
        this.platform.keyValue.faults.loseNextResponses(0);
        this.platform.keyValue.faults.delayMs = 0;
        this.platform.network.heal();
        this.dataFolders.forEach(folder => folder.isFull = false);
        this.entries.forEach(entry => entry.gate.resume());
        this.sides.forEach(side => side.gate.resume());
    }

    private replaceEntry(index: number): void {
        if (this.entries[index].gate.dead) {
            this.entries[index] = this.createEntry(index);
            this.entries[index].start();
        }
    }

    private createEntry(index: number): SimulatedEntry {
        return new SimulatedEntry({
            platform: this.platform,
            index,
            incarnation: this.startCount++,
            seed: this.nextSeed(),
            dataFolder: this.dataFolders[index],
        });
    }

    private createSide(index: number): SimulatedSide {
        return new SimulatedSide({
            platform: this.platform,
            index,
            incarnation: this.startCount++,
            service: SERVICES[index],
            seed: this.nextSeed(),
            entries: () => this.entries.filter(entry => !entry.gate.dead).map(entry => entry.address),
            onCrash: () => this.crashSide(index),
        });
    }

    private nextSeed(): number {
        return this.seed * 1000 + this.startCount;
    }
}
