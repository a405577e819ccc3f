import { LatencyRecorder } from "@knapweedwood/bench.load/latencyRecorder";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Random } from "@knapweedwood/core.random/random";
import { request } from "undici";
import type { FaultsBed } from "./faultsBed.js";
import type { ManagedProcess } from "./managedProcess.js";
import type { OwnershipProbe } from "./ownershipProbe.js";

const FAULT_INTERVAL_MS = 1500;
const DOWN_MS = 1500;
const SIDE_PAUSE_MS = 3000;
const ENTRY_PAUSE_MS = 6000;
const OUTAGE_MS = 3000;
const LOST_ANSWERS = 3;
const ORDER_TIMEOUT_MS = 2000;

/** Brings faults in, one after another, until its time is over. */
export class FaultSchedule {
    readonly counts: { [kind: string]: number; } = {};
    readonly recovery = new LatencyRecorder();
    private readonly opts: { bed: FaultsBed; probe: OwnershipProbe; clock: Clock; random: Random; };
    private readonly running: Promise<void>[] = [];

    constructor(opts: FaultSchedule["opts"]) {
        this.opts = opts;
    }

    async run(durationMs: number): Promise<void> {
        const { clock, random } = this.opts;
        const endMs = clock.nowMs() + durationMs;
        const faults = this.faults();
        while (clock.nowMs() < endMs) {
            const kinds = Object.keys(faults);
            const kind = kinds[random.nextInteger(kinds.length)];
            this.counts[kind] = (this.counts[kind] ?? 0) + 1;
            this.running.push(faults[kind]());
            await sleep(clock, FAULT_INTERVAL_MS * (0.5 + random.next()));
        }
        await Promise.all(this.running);
    }

    private faults(): { [kind: string]: () => Promise<void>; } {
        const { bed } = this.opts;
        return {
            "SIGKILL entry": () => this.loseEntry(),
            "SIGKILL side": () => this.withRunning(bed.sides, side => side.lose(DOWN_MS, ms => this.sleep(ms))),
            "SIGSTOP entry": () =>
                this.withRunning(bed.entries, entry => entry.pause(ENTRY_PAUSE_MS, ms => this.sleep(ms))),
            "SIGSTOP side": () => this.withRunning(bed.sides, side => side.pause(SIDE_PAUSE_MS, ms => this.sleep(ms))),
            "key-value outage": () => this.outage(),
            "key-value answers lost": () => this.order(`${bed.keyValueUrl}/faults`, { loseAnswers: LOST_ANSWERS }),
            "key-value connections silent": () => this.order(`${bed.keyValueUrl}/faults`, { silentConnections: true }),
            "service answers lost": () => this.order(`${this.anyService()}/__faults`, { loseAnswers: LOST_ANSWERS }),
            "service refusals": () => this.order(`${this.anyService()}/__faults`, { refusals: LOST_ANSWERS }),
        };
    }

    private async loseEntry(): Promise<void> {
        const { bed, probe, clock } = this.opts;
        // Two of three data folders stay reachable, as an acknowledged segment needs.
        if (bed.entries.some(entry => !entry.isRunning)) {
            return;
        }
        const victim = bed.entries[this.opts.random.nextInteger(bed.entries.length)];
        const lostAtMs = clock.nowMs();
        const lost = victim.lose(DOWN_MS, ms => this.sleep(ms));
        const recoveredAtMs = await probe.waitUntilOwned(victim.instanceId);
        if (recoveredAtMs !== undefined) {
            this.recovery.record(recoveredAtMs - lostAtMs);
        }
        await lost;
    }

    private async withRunning(
        processes: ManagedProcess[],
        action: (process: ManagedProcess) => Promise<void>,
    ): Promise<void> {
        const running = processes.filter(candidate => candidate.isRunning);
        if (running.length === processes.length) {
            await action(running[this.opts.random.nextInteger(running.length)]);
        }
    }

    private async outage(): Promise<void> {
        const url = `${this.opts.bed.keyValueUrl}/faults`;
        await this.order(url, { outage: true });
        await this.sleep(OUTAGE_MS);
        await this.order(url, { outage: false });
    }

    private anyService(): string {
        const { serviceUrls } = this.opts.bed;
        return serviceUrls[this.opts.random.nextInteger(serviceUrls.length)];
    }

    /** Sends a fault order. Its own answer is lost where it silences the connection that it came by. */
    private async order(url: string, body: object): Promise<void> {
        const sent = request(url, {
            method: "POST",
            body: JSON.stringify(body),
            reset: true,
            headersTimeout: ORDER_TIMEOUT_MS,
        });
        await sent.then(answer => answer.body.dump(), () => undefined);
    }

    private sleep(durationMs: number): Promise<void> {
        return sleep(this.opts.clock, durationMs);
    }
}
