import type { FaultRecord } from "./faultRecord.js";
import { pause } from "./pause.js";
import type { PlannedFault } from "./plannedFault.js";
import type { SoakFleet } from "./soakFleet.js";
import type { SoakProcess } from "./soakProcess.js";
import type { SoakRecord } from "./soakRecord.js";
import type { SoakUpstream } from "./soakUpstream.js";
import type { UpstreamMode } from "./upstreamMode.js";

const RESTART_DELAY_MS = 400;
const STORE_DELAY_MS = 250;
const LINK_DELAY_MS = 150;
const LOST_RESPONSES = 5;
/** Added to the duration of a named limit, since a limit is checked only 3 s after it was named, in windows of 4 s. */
const LIMIT_EXTRA_MS = 9000;
/** Time after which the entry of a crashed upstream is removed from the key-value service. */
const ENTRY_EXPIRY_MS = 3600;
/** Time for which an upstream keeps serving after it announced that it drains. */
const DRAIN_MS = 3200;
/** Time between the silence of watches and the loss of a gateway. */
const WRITER_LOSS_DELAY_MS = 250;
/** Time that a process needs after its start until it works again. */
const PROCESS_START_MS = 1500;

/** Injects planned faults and records when each began and ended. */
export class FaultInjector {
    private readonly fleet: SoakFleet;
    private readonly record: SoakRecord;
    private readonly nowMs: () => number;
    private readonly activeTargets = new Set<SoakProcess | SoakUpstream | "store">();
    private readonly pending = new Set<Promise<void>>();

    constructor(opts: { fleet: SoakFleet; record: SoakRecord; nowMs: () => number; }) {
        this.fleet = opts.fleet;
        this.record = opts.record;
        this.nowMs = opts.nowMs;
    }

    /** Starts a fault and does not wait for its end. Skips a target that already has an active fault. */
    inject(fault: PlannedFault): void {
        const done = this.execute(fault);
        this.pending.add(done);
        void done.finally(() => this.pending.delete(done));
    }

    /** Resolves when all injected faults are over. */
    async waitForPending(): Promise<void> {
        await Promise.all(this.pending);
    }

    private async execute(fault: PlannedFault): Promise<void> {
        const [family, variant = ""] = splitOnce(fault.kind);
        switch (family) {
            case "kill":
                await this.kill(fault, variant);
                return;
            case "wipe":
            case "tear":
                await this.runOnProcess(fault, async process => {
                    await process.kill();
                    await pause(RESTART_DELAY_MS);
                    process[family === "wipe" ? "wipeDisk" : "tearNewestFile"]();
                    process.start();
                    await pause(PROCESS_START_MS);
                });
                return;
            case "pause":
                await this.runOnProcess(fault, async process => {
                    process.signal("SIGSTOP");
                    await pause(fault.durationMs);
                    process.signal("SIGCONT");
                });
                return;
            case "stop":
                await this.runOnProcess(fault, async process => {
                    await process.stop();
                    await pause(RESTART_DELAY_MS);
                    process.start();
                    await pause(PROCESS_START_MS);
                }, { isPlanned: true });
                return;
            case "reload":
                await this.runOnProcess(fault, async process => process.signal("SIGHUP"), { isPlanned: true });
                return;
            case "store":
                await this.applyStoreFault(fault, variant);
                return;
            case "watches":
                await this.applyWatchFault(fault, variant);
                return;
            case "upstream":
                await this.runOnUpstream(
                    fault,
                    upstream =>
                        variant === "crash"
                            ? this.crash(upstream, fault.durationMs)
                            : this.applyMode(upstream, variant, fault),
                );
                return;
            case "link":
                await this.runOnUpstream(fault, upstream => this.applyLinkFault(upstream, variant, fault.durationMs));
                return;
            default:
                await this.runOnUpstream(fault, upstream => this.drain(upstream), { isPlanned: true });
        }
    }

    private async restart(process: SoakProcess): Promise<void> {
        await process.kill();
        await pause(RESTART_DELAY_MS);
        process.start();
        await pause(PROCESS_START_MS);
    }

    private async kill(fault: PlannedFault, variant: string): Promise<void> {
        switch (variant) {
            case "all":
                return this.killTogether(fault.kind, variant, this.fleet.members);
            case "runners":
                return this.killTogether(fault.kind, variant, this.fleet.runners);
            default:
                return this.runOnProcess(fault, process => this.restart(process));
        }
    }

    /** Kills these members at the same moment and starts them again. */
    private async killTogether(kind: string, target: string, members: SoakFleet["members"]): Promise<void> {
        const processes = members.map(member => member.process).filter(process => !this.activeTargets.has(process));
        await this.runRecorded(kind, target, processes, false, async () => {
            await Promise.all(processes.map(process => this.restart(process)));
        });
    }

    private async applyStoreFault(fault: PlannedFault, variant: string): Promise<void> {
        if (variant.startsWith("cut")) {
            await this.runOnProcess(
                fault,
                (_process, relay) => this.silenceRelay(relay, variant === "cut-one-way", fault),
            );
            return;
        }
        if (this.activeTargets.has("store")) {
            return;
        }
        const { store, keyValueService } = this.fleet;
        await this.runRecorded(fault.kind, "store", ["store"], false, async () => {
            switch (variant) {
                case "slow":
                    store.delayMs = STORE_DELAY_MS;
                    break;
                case "lost-answers":
                    store.responsesToLose = LOST_RESPONSES;
                    break;
                case "compacted":
                    keyValueService.compact();
                    return;
                default:
                    store.mode = variant as "busy" | "silent" | "reset";
            }
            await pause(fault.durationMs);
            store.mode = "normal";
            store.delayMs = 0;
            store.responsesToLose = 0;
        });
    }

    /**
     * Silences or cuts connections that watch the key-value service while its other connections work: all of them, or a share.
     * With `silent-kill` a gateway that may have acknowledged a change since is lost soon after.
     */
    private async applyWatchFault(fault: PlannedFault, variant: string): Promise<void> {
        const { store } = this.fleet;
        const share = fault.targetFraction < 0.5 ? 1 : fault.targetFraction;
        await this.runRecorded(fault.kind, "store", [], false, () => {
            if (variant === "cut") {
                store.cutWatches(share);
            }
            else {
                store.silenceWatches(share);
            }
            return Promise.resolve();
        });
        if (variant === "silent-kill") {
            await pause(WRITER_LOSS_DELAY_MS);
            await this.runOnProcess(fault, process => this.restart(process));
        }
    }

    /**
     * Silences a relay in one or both directions; a target fraction below 0.5 selects `forward` as the one direction.
     * Connections opened after the fault work; those silenced stay silent.
     */
    private async silenceRelay(relay: SoakUpstream["relay"], isOneWay: boolean, fault: PlannedFault): Promise<void> {
        const singleDirection = fault.targetFraction < 0.5 ? "forward" as const : "backward" as const;
        const directions = isOneWay ? [singleDirection] : ["forward" as const, "backward" as const];
        relay.silence(...directions);
        relay.silenceNew(...directions);
        await pause(fault.durationMs);
        relay.silenceNew();
    }

    private async applyLinkFault(upstream: SoakUpstream, variant: string, durationMs: number): Promise<void> {
        const { relay } = upstream;
        if (variant === "reset") {
            relay.reset();
            return;
        }
        if (variant === "delay") {
            relay.setDelay(LINK_DELAY_MS);
            await pause(durationMs);
            relay.setDelay(0);
            return;
        }
        await this.silenceRelay(relay, variant === "one-way", {
            kind: "link-silent",
            atMs: 0,
            durationMs,
            targetFraction: 0.9,
        });
    }

    private async applyMode(upstream: SoakUpstream, mode: string, fault: PlannedFault): Promise<void> {
        upstream.mode = mode as UpstreamMode;
        if (mode === "limited") {
            await pause(LIMIT_EXTRA_MS);
        }
        await pause(fault.durationMs);
        upstream.mode = "healthy";
    }

    private async crash(upstream: SoakUpstream, durationMs: number): Promise<void> {
        upstream.close();
        const replacing = pause(durationMs).then(() => this.replace(upstream));
        await pause(ENTRY_EXPIRY_MS);
        await this.fleet.operator.remove(upstream);
        await replacing;
    }

    private async drain(upstream: SoakUpstream): Promise<void> {
        await this.replace(upstream);
        upstream.startDraining();
        await this.fleet.operator.announce(upstream);
        await pause(DRAIN_MS);
        await this.fleet.operator.remove(upstream);
        upstream.close();
    }

    private async replace(upstream: SoakUpstream): Promise<void> {
        const successor = await this.fleet.createUpstream(upstream.announcement.service);
        this.fleet.upstreams[this.fleet.upstreams.indexOf(upstream)] = successor;
    }

    /** Runs the action on the process that the fault selects, unless that process already has an active fault. */
    private async runOnProcess(
        fault: PlannedFault,
        action: (process: SoakProcess, relay: SoakUpstream["relay"]) => Promise<void>,
        opts: { isPlanned?: boolean; } = {},
    ): Promise<void> {
        const needsRunner = /runner|disk|file/u.test(fault.kind);
        const targetsAnyProcess = /^store|^reload/u.test(fault.kind);
        const { members, gateways, runners } = this.fleet;
        const candidates = targetsAnyProcess ? members : needsRunner ? runners : gateways;
        const { process, storeRelay } = pick(candidates, fault.targetFraction);
        if (!this.activeTargets.has(process)) {
            await this.runRecorded(
                fault.kind,
                process.name,
                [process],
                opts.isPlanned ?? false,
                () => action(process, storeRelay),
            );
        }
    }

    /** Runs the action on the upstream that the fault selects, unless that upstream already has an active fault. */
    private async runOnUpstream(
        fault: PlannedFault,
        action: (upstream: SoakUpstream) => Promise<void>,
        opts: { isPlanned?: boolean; } = {},
    ): Promise<void> {
        const upstream = pick(this.fleet.upstreams, fault.targetFraction);
        if (!this.activeTargets.has(upstream)) {
            await this.runRecorded(
                fault.kind,
                upstream.id,
                [upstream],
                opts.isPlanned ?? false,
                () => action(upstream),
            );
        }
    }

    private async runRecorded(
        kind: string,
        target: string,
        targets: (SoakProcess | SoakUpstream | "store")[],
        isPlanned: boolean,
        action: () => Promise<void>,
    ): Promise<void> {
        const fault: FaultRecord = { kind, target, fromMs: this.nowMs(), toMs: Infinity, isPlanned };
        this.record.faults.push(fault);
        targets.forEach(activeTarget => this.activeTargets.add(activeTarget));
        try {
            await action();
        }
        finally {
            fault.toMs = this.nowMs();
            targets.forEach(activeTarget => this.activeTargets.delete(activeTarget));
        }
    }
}

function pick<Value>(values: readonly Value[], fraction: number): Value {
    return values[Math.floor(fraction * values.length)]!;
}

/** Splits a kind of fault at its first dash into family and variant, shape [family] or [family, variant]. */
function splitOnce(kind: string): string[] {
    const dash = kind.indexOf("-");
    return dash < 0 ? [kind] : [kind.slice(0, dash), kind.slice(dash + 1)];
}
