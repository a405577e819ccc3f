import { LatencyRecorder } from "@knapweedwood/bench.load/latencyRecorder";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { Random } from "@knapweedwood/core.random/random";
import { request } from "undici";
import type { FaultsTestBed } from "./faultsTestBed.js";
import type { ManagedProcess } from "./managedProcess.js";
import type { OwnershipProbe } from "./ownershipProbe.js";

const MEAN_FAULT_INTERVAL_MS = 1500;
const RESTART_DELAY_MS = 1500;
const SIDE_PAUSE_MS = 3000;
const ENTRY_PAUSE_MS = 6000;
const OUTAGE_MS = 3000;
const AFFECTED_RESPONSE_COUNT = 3;
const FAULT_REQUEST_TIMEOUT_MS = 2000;

/** Injects random faults at random intervals for a given time. */
export class FaultSchedule {
    /** Number of chosen faults by kind, including those skipped because a process was already interrupted. */
    readonly counts: { [kind: string]: number; } = {};
    /** Time from the kill of an entry until each partition has a live owner. */
    readonly recovery = new LatencyRecorder();
    private readonly opts: { bed: FaultsTestBed; probe: OwnershipProbe; clock: Clock; random: Random; };
    private readonly activeFaults: Promise<void>[] = [];

    constructor(opts: FaultSchedule["opts"]) {
        this.opts = opts;
    }

    /** Injects faults for `durationMs`, then waits until all of them have ended. */
    async run(durationMs: number): Promise<void> {
        const { clock, random } = this.opts;
        const endMs = clock.nowMs() + durationMs;
        const faults = this.faults();
        while (clock.nowMs() < endMs) {
            const kinds = Object.keys(faults);
            const kind = kinds[random.nextInteger(kinds.length)];
            this.counts[kind] = (this.counts[kind] ?? 0) + 1;
            this.activeFaults.push(faults[kind]());
            await sleep(clock, MEAN_FAULT_INTERVAL_MS * (0.5 + random.next()));
        }
        await Promise.all(this.activeFaults);
    }

    private faults(): { [kind: string]: () => Promise<void>; } {
        const { bed } = this.opts;
        return {
            "SIGKILL entry": () => this.killEntry(),
            "SIGKILL side": () =>
                this.withRandomProcess(bed.sides, side => side.killAndRestart(RESTART_DELAY_MS, ms => this.sleep(ms))),
            "SIGSTOP entry": () =>
                this.withRandomProcess(bed.entries, entry => entry.pause(ENTRY_PAUSE_MS, ms => this.sleep(ms))),
            "SIGSTOP side": () =>
                this.withRandomProcess(bed.sides, side => side.pause(SIDE_PAUSE_MS, ms => this.sleep(ms))),
            "key-value outage": () => this.outage(),
            "key-value answers lost": () =>
                this.applyFaults(`${bed.keyValueUrl}/faults`, { loseAnswers: AFFECTED_RESPONSE_COUNT }),
            "key-value connections silent": () =>
                this.applyFaults(`${bed.keyValueUrl}/faults`, { silentConnections: true }),
            "service answers lost": () =>
                this.applyFaults(`${this.randomServiceUrl()}/__faults`, { loseAnswers: AFFECTED_RESPONSE_COUNT }),
            "service refusals": () =>
                this.applyFaults(`${this.randomServiceUrl()}/__faults`, { refusals: AFFECTED_RESPONSE_COUNT }),
        };
    }

    private async killEntry(): Promise<void> {
        const { bed, probe, clock } = this.opts;
        // At most one entry is down: an acknowledged segment needs two of the three data folders to be reachable.
        if (bed.entries.some(entry => !entry.isRunning)) {
            return;
        }
        const entry = bed.entries[this.opts.random.nextInteger(bed.entries.length)];
        const killedAtMs = clock.nowMs();
        const restarted = entry.killAndRestart(RESTART_DELAY_MS, ms => this.sleep(ms));
        const recoveredAtMs = await probe.waitUntilOwned(entry.instanceId);
        if (recoveredAtMs !== undefined) {
            this.recovery.record(recoveredAtMs - killedAtMs);
        }
        await restarted;
    }

    private async withRandomProcess(
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
        await this.applyFaults(url, { outage: true });
        await this.sleep(OUTAGE_MS);
        await this.applyFaults(url, { outage: false });
    }

    private randomServiceUrl(): string {
        const { serviceUrls } = this.opts.bed;
        return serviceUrls[this.opts.random.nextInteger(serviceUrls.length)];
    }

    /** Sends faults to a stand-in. The response is lost if the fault silences the connection of the request itself. */
    private async applyFaults(url: string, body: object): Promise<void> {
        const sent = request(url, {
            method: "POST",
            body: JSON.stringify(body),
            reset: true,
            headersTimeout: FAULT_REQUEST_TIMEOUT_MS,
        });
        await sent.then(response => response.body.dump(), () => undefined);
    }

    private sleep(durationMs: number): Promise<void> {
        return sleep(this.opts.clock, durationMs);
    }
}
