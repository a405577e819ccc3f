import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import { FleetRateLimiter } from "../src/fleetRateLimiter.js";
import type { GatewayUsage } from "../src/gatewayUsage.js";
import { LeakyBucket } from "../src/leakyBucket.js";
import type { LimitedTeam } from "../src/limitedTeam.js";
import type { RateLimit } from "../src/rateLimit.js";

interface Gateway {
    name: InstanceName;
    /** Undefined while the process is down. */
    limiter: FleetRateLimiter | undefined;
    startedAtMs: number;
    restartAtMs: number;
    frozenUntilMs: number;
    /** Gateways with different groups can't hear each other. */
    group: number;
    /** Time from which the others list it. */
    listedAtMs: number;
    configuredAtMs: number;
    team: LimitedTeam;
    sequence: number;
    sentAtMs: number;
    isChanged: boolean;
    inbox: { dueAtMs: number; usage: GatewayUsage; }[];
    waiting: number;
}

interface FleetOptions {
    seed: number;
    gateways: number;
    team: LimitedTeam;
    lossShare: number;
    maxDelayMs: number;
    /** Share of the admitted requests that end without having run. */
    releasedShare: number;
    /** Only requests that one bucket with this limit admits arrive, if set. */
    conformingTo?: RateLimit;
}

const STEP_MS = 5;
const MIN_REPORT_INTERVAL_MS = 15;
/** Requests that a gateway handles in a step, so that those that waited for a frozen process take a while. */
const MAX_SERVED = 20;
/** Datagrams that wait in the socket of a frozen process. Later ones are lost, so it wakes with old reports. */
const MAX_WAITING_DATAGRAMS = 40;

/** Gateways that exchange reports over a simulated network and meter one team. */
export class SimulatedFleet {
    nowMs = 1000;
    rejected = 0;
    /** Times of the admitted requests that ran, shape [requests]. */
    readonly ranAtMs: number[] = [];
    readonly gateways: Gateway[] = [];
    private readonly opts: FleetOptions;
    private readonly random: SeededRandom;
    private releases: { atMs: number; action: () => void; }[] = [];
    private readonly bucket = new LeakyBucket();
    private team: LimitedTeam;

    constructor(opts: FleetOptions) {
        this.opts = opts;
        this.team = opts.team;
        this.random = new SeededRandom(opts.seed);
        Array.from({ length: opts.gateways }, () => this.addGateway(0));
    }

    /** Starts a gateway that the others list `listedAfterMs` later. */
    addGateway(listedAfterMs: number): void {
        const gateway: Gateway = {
            name: `gateway-${this.gateways.length}` as InstanceName,
            limiter: undefined,
            startedAtMs: 0,
            restartAtMs: this.nowMs,
            frozenUntilMs: 0,
            group: 0,
            listedAtMs: this.nowMs + listedAfterMs,
            configuredAtMs: 0,
            team: this.team,
            sequence: 0,
            sentAtMs: 0,
            isChanged: false,
            inbox: [],
            waiting: 0,
        };
        this.gateways.push(gateway);
    }

    kill(gateway: Gateway, downMs: number): void {
        gateway.limiter = undefined;
        gateway.inbox = [];
        gateway.waiting = 0;
        gateway.restartAtMs = this.nowMs + downMs;
    }

    /** Changes the limit, which each gateway learns within `maxDelayMs`. */
    changeTeam(team: LimitedTeam, maxDelayMs: number): void {
        this.team = team;
        this.gateways.forEach(gateway => {
            gateway.configuredAtMs = this.nowMs + this.random.next() * maxDelayMs;
        });
    }

    /** Advances the time; `rateOf` returns the requests that arrive at a gateway each second. */
    run(durationMs: number, rateOf: (gateway: Gateway, index: number) => number): void {
        const endMs = this.nowMs + durationMs;
        while (this.nowMs < endMs) {
            this.nowMs += STEP_MS;
            this.releases.filter(({ atMs }) => atMs <= this.nowMs).forEach(({ action }) => action());
            this.releases = this.releases.filter(({ atMs }) => atMs > this.nowMs);
            this.gateways.forEach((gateway, index) => this.step(gateway, rateOf(gateway, index)));
        }
    }

    /** Returns the maximum number of requests that ran within a window that begins in [fromMs, toMs). */
    maxInWindow(windowMs: number, fromMs = 0, toMs = Infinity): number {
        const times = this.ranAtMs.filter(atMs => atMs >= fromMs).sort((left, right) => left - right);
        let end = 0;
        return times.filter(atMs => atMs < toMs).reduce((most, startMs, start) => {
            while (end < times.length && times[end]! < startMs + windowMs) {
                end += 1;
            }
            return Math.max(most, end - start);
        }, 0);
    }

    private step(gateway: Gateway, rate: number): void {
        if (gateway.limiter === undefined) {
            if (this.nowMs >= gateway.restartAtMs) {
                this.start(gateway);
            }
            return;
        }
        gateway.waiting += this.conforming(this.arrivals(rate));
        if (this.nowMs < gateway.frozenUntilMs) {
            return;
        }
        if (this.nowMs >= gateway.configuredAtMs) {
            gateway.team = this.team;
        }
        const actions = [() => this.receive(gateway), () => this.serve(gateway), () => this.report(gateway)];
        const first = this.random.nextInteger(actions.length);
        [...actions.slice(first), ...actions.slice(0, first)].forEach(action => action());
    }

    private start(gateway: Gateway): void {
        gateway.startedAtMs = this.nowMs;
        gateway.sequence = 0;
        gateway.limiter = new FleetRateLimiter({
            startedAtMs: this.nowMs,
            isLimiting: () => true,
            listedPeers: () =>
                this.gateways.filter(other => other !== gateway && this.nowMs >= other.listedAtMs).map(({ name }) =>
                    name
                ),
            teamOf: teamId => teamId === gateway.team.id ? gateway.team : undefined,
            onActive: () => {
                gateway.isChanged = true;
            },
        });
    }

    private arrivals(rate: number): number {
        const expected = rate * STEP_MS / 1000;
        return Math.floor(expected) + (this.random.next() < expected % 1 ? 1 : 0);
    }

    private conforming(count: number): number {
        const { conformingTo: limit } = this.opts;
        return limit === undefined ? count : Array.from({ length: count }).filter(() => {
            const isConforming = this.bucket.waitMs(limit, 1, this.nowMs) === 0;
            this.bucket.take(limit, isConforming ? 1 : 0, this.nowMs);
            return isConforming;
        }).length;
    }

    private serve(gateway: Gateway): void {
        const { limiter } = gateway;
        for (let served = 0; served < MAX_SERVED && gateway.waiting > 0; served += 1) {
            gateway.waiting -= 1;
            const admission = limiter!.tryAdmit(gateway.team, this.nowMs)!;
            if (!admission.isAdmitted) {
                this.rejected += 1;
            }
            else if (this.random.next() < this.opts.releasedShare) {
                const atMs = this.nowMs + this.random.next() * 3000;
                this.releases.push({ atMs, action: () => limiter!.release(admission, this.nowMs) });
            }
            else {
                this.ranAtMs.push(this.nowMs);
            }
            gateway.isChanged ||= admission.isAdmitted;
        }
    }

    private receive(gateway: Gateway): void {
        const due = gateway.inbox.filter(({ dueAtMs }) => dueAtMs <= this.nowMs);
        gateway.inbox = gateway.inbox.filter(({ dueAtMs }) => dueAtMs > this.nowMs);
        due.forEach(({ usage }) => gateway.limiter!.apply(usage, this.nowMs));
    }

    private report(gateway: Gateway): void {
        const intervalMs = gateway.isChanged ? MIN_REPORT_INTERVAL_MS : gateway.limiter!.reportIntervalMs(this.nowMs);
        if (this.nowMs < gateway.sentAtMs + intervalMs) {
            return;
        }
        gateway.sentAtMs = this.nowMs;
        gateway.isChanged = false;
        gateway.sequence += 1;
        const { name: instanceName, startedAtMs, sequence } = gateway;
        const usage = { instanceName, startedAtMs, sequence, teamUsage: gateway.limiter!.usageToReport(this.nowMs) };
        this.gateways
            .filter(other => other !== gateway && other.group === gateway.group && other.limiter !== undefined)
            .forEach(other => this.send(usage, other));
    }

    /** Datagrams overtake each other; some are lost, some arrive twice. */
    private send(usage: GatewayUsage, to: Gateway): void {
        const copies = this.random.next() < this.opts.lossShare ? 0 : this.random.next() < 0.01 ? 2 : 1;
        const isFull = this.nowMs < to.frozenUntilMs && to.inbox.length >= MAX_WAITING_DATAGRAMS;
        Array.from({ length: isFull ? 0 : copies }, () => {
            to.inbox.push({ dueAtMs: this.nowMs + 1 + this.random.next() * this.opts.maxDelayMs, usage });
        });
    }
}
