import type { Random } from "@knapweedwood/core.random/random";
import { setTimeout as sleep } from "node:timers/promises";
import type { ChurnFleet } from "./churnFleet.js";
import type { Life } from "./life.js";

const PAUSE_MS = 3_000;
const OUTAGE_MS = 5_000;
const RESTART_DELAY_MS = 500;

/** Kills, pauses, outages and lost answers, while publishes go on. */
export class ChurnFaults {
    readonly counts = { kills: 0, pauses: 0, outages: 0, lostAnswers: 0 };
    private readonly fleet: ChurnFleet;
    private readonly random: Random;
    private readonly running = new Set<Promise<void>>();
    private readonly disturbed = new Set<string>();

    constructor(opts: { fleet: ChurnFleet; random: Random; }) {
        this.fleet = opts.fleet;
        this.random = opts.random;
    }

    kill(): void {
        this.counts.kills += 1;
        this.disturb(async life => {
            await this.fleet.kill(life);
            await sleep(RESTART_DELAY_MS);
            await this.fleet.launch(life.instanceId);
        });
    }

    pause(): void {
        this.counts.pauses += 1;
        this.disturb(async life => {
            const fromMs = Date.now();
            life.pauses.push({ fromMs, untilMs: fromMs + PAUSE_MS });
            life.launched.pause();
            await sleep(PAUSE_MS);
            life.launched.resume();
        });
    }

    outage(): void {
        this.counts.outages += 1;
        this.fleet.keyValue.applyFaults({ outage: true });
        this.track(sleep(OUTAGE_MS).then(() => this.fleet.keyValue.applyFaults({ outage: false })));
    }

    loseAnswer(): void {
        this.counts.lostAnswers += 1;
        this.fleet.keyValue.applyFaults({ loseAnswers: 1 });
    }

    /** Resolves once all faults have ended. */
    async settle(): Promise<void> {
        await Promise.all(this.running);
    }

    private disturb(action: (life: Life) => Promise<void>): void {
        const candidates = this.fleet.living().filter(life => !this.disturbed.has(life.instanceId));
        const life = candidates[this.random.nextInteger(candidates.length)];
        if (life !== undefined) {
            this.disturbed.add(life.instanceId);
            this.track(action(life).finally(() => this.disturbed.delete(life.instanceId)));
        }
    }

    private track(fault: Promise<void>): void {
        const tracked = fault.finally(() => this.running.delete(tracked));
        this.running.add(tracked);
    }
}
