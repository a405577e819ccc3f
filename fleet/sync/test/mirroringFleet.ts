import { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { SilenceableKeyValueService } from "@knapweedwood/standins.key-value/silenceableKeyValueService";
import { PrefixMirror } from "../src/prefixMirror.js";
import type { PrefixMirrorOptions } from "../src/prefixMirrorOptions.js";

const MIRRORED_PREFIX = "a/";
const MAX_AGE_MS = 1000;
const TURN_MS = 50;
const MAX_TURNS = 8;
const SEEDS = 2 ** 31;
const WATCH_WAIT_MS = 8000;
/** Longest time that a report between processes takes, in milliseconds. */
const REPORT_MS = 30;
/** Time after which a change counts as never known, in milliseconds. */
const MAX_WAIT_MS = 4000;

/** Mirrors `a/` in several processes that report to each other what the service has said to them. */
export class MirroringFleet {
    readonly clock = new ManualClock();
    readonly service = new SilenceableKeyValueService({ clock: this.clock });
    readonly mirrors: PrefixMirror[];
    /** Keys of each process, shape [processes]. */
    readonly keys: Set<string>[];
    recoveries = 0;
    private readonly controllers: AbortController[];

    constructor(processes: number, change: Partial<PrefixMirrorOptions> = {}) {
        this.keys = Array.from({ length: processes }, () => new Set());
        this.mirrors = this.keys.map((keys, index) => this.createMirror(keys, index, change));
        this.controllers = this.mirrors.map(() => new AbortController());
        this.mirrors.forEach((mirror, index) => void mirror.run(this.controllers[index]!.signal));
    }

    stop(): void {
        this.controllers.forEach(controller => controller.abort());
        this.service.close();
    }

    /** Number of processes that have the key. */
    countOf(key: string): number {
        return this.keys.filter(keys => keys.has(key)).length;
    }

    /** Returns the time until each process has the key, in milliseconds; infinity if that is too long. */
    async timeUntilKnown(key: string): Promise<number> {
        const startedAtMs = this.clock.nowMs();
        while (this.countOf(key) < this.keys.length) {
            if (this.clock.nowMs() > startedAtMs + MAX_WAIT_MS) {
                return Infinity;
            }
            await this.clock.advance(10);
        }
        return this.clock.nowMs() - startedAtMs;
    }

    private createMirror(keys: Set<string>, index: number, change: Partial<PrefixMirrorOptions>): PrefixMirror {
        return new PrefixMirror({
            service: this.service,
            clock: this.clock,
            // The first values of seeds that are close are close.
            random: new SeededRandom(Math.floor(index / this.keys.length * SEEDS)),
            logger: silentLogger,
            prefix: MIRRORED_PREFIX,
            watchWaitMs: () => WATCH_WAIT_MS,
            maxAgeMs: () => MAX_AGE_MS,
            checkDelayMs: () => Math.min(index, MAX_TURNS) * TURN_MS,
            onChecked: () => this.report(index),
            onRecovered: () => {
                this.recoveries += 1;
            },
            onSnapshot: entries => entries.forEach(entry => keys.add(entry.key)),
            onChange: batch => {
                batch.puts.forEach(entry => keys.add(entry.key));
                batch.deletedKeys.forEach(key => keys.delete(key));
                this.report(index);
            },
            ...change,
        });
    }

    /** Tells the other processes what the service has said to this one, as load reports do. */
    private report(index: number): void {
        const { verification, revision } = this.mirrors[index]!;
        this.clock.setTimer(REPORT_MS, () => {
            this.mirrors.filter((_, other) => other !== index).forEach(mirror => {
                mirror.recordVerification({ ...verification!, ageMs: verification!.ageMs + REPORT_MS });
                mirror.catchUp(Math.min(revision, verification!.revision));
            });
        });
    }
}
