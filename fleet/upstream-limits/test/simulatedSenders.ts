import type { Clock } from "@knapweedwood/core.clock/clock";
import type { InstanceName } from "@knapweedwood/core.ids/instanceName";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { UpstreamId } from "@knapweedwood/core.ids/upstreamId";
import { SeededRandom } from "@knapweedwood/core.random/seededRandom";
import type { ResponseHead } from "@knapweedwood/fleet.upstreams/responseHead";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import { silentLogger } from "@knapweedwood/observability.logs/silentLogger";
import { UpstreamRequestLimiter } from "../src/upstreamRequestLimiter.js";
import type { UpstreamUsageReport } from "../src/upstreamUsageReport.js";

interface Sender {
    name: InstanceName;
    /** Undefined while the process is down. */
    limiter: UpstreamRequestLimiter | undefined;
    startedAtMs: number;
    restartAtMs: number;
    frozenUntilMs: number;
    /** Processes with different groups can't hear each other. */
    group: number;
    sequence: number;
    sentAtMs: number;
    isChanged: boolean;
    inbox: { dueAtMs: number; report: UpstreamUsageReport; waiting: number; }[];
    heard: Map<InstanceName, { atMs: number; waiting: number; }>;
    /** Requests that wait for room. */
    waiting: number;
    /** Time of the last fault that excuses it, in milliseconds. */
    faultAtMs: number;
    /** Time at which a response first told it the present limit; undefined until then. */
    toldAtMs: number | undefined;
}

interface Arrival {
    atMs: number;
    sender: Sender;
    /** Whether the sender was told at least half a second before, and had no fault meanwhile. */
    isBound: boolean;
}

const STEP_MS = 5;
const MIN_REPORT_INTERVAL_MS = 15;
const HEARTBEAT_MS = 300;
const REPORT_VALID_MS = 1500;
const RESPONSE_MS = 30;
/** Time for which a sender that was told may still send as before, in milliseconds. */
const TOLD_MARGIN_MS = 500;
/** Time after a fault for which a sender is excused, in milliseconds. */
const FAULT_MARGIN_MS = 3000;
/** Requests that give up while they wait leave this many. */
const MAX_WAITING = 30;
const HTTP_OK = 200;

/** Processes that send requests to one upstream and exchange reports over a simulated network. */
export class SimulatedSenders {
    nowMs = 100_000;
    /** Limit that the upstream names, in requests a second; undefined for none. */
    limit: number | undefined;
    readonly arrivals: Arrival[] = [];
    readonly senders: Sender[];
    readonly upstream: Upstream = {
        id: "u" as UpstreamId,
        service: "s" as ServiceName,
        address: { host: "h", port: 1 },
        zone: "z" as Upstream["zone"],
        softwareVersion: "v" as Upstream["softwareVersion"],
        slots: 8,
        state: "ready",
        startedAtMs: 5,
    };
    private readonly opts: { lossShare: number; maxDelayMs: number; };
    private readonly random: SeededRandom;
    private readonly clock: Clock = {
        nowMs: () => this.nowMs,
        timeOfDayMs: () => this.nowMs,
        setTimer: () => ({ cancel: () => undefined }),
    };
    private responses: { atMs: number; sender: Sender; startedAtMs: number; limit: number | undefined; }[] = [];

    constructor(opts: { seed: number; senders: number; lossShare: number; maxDelayMs: number; }) {
        this.opts = opts;
        this.random = new SeededRandom(opts.seed);
        this.senders = Array.from({ length: opts.senders }, (_, index): Sender => ({
            name: `sender-${index}` as InstanceName,
            limiter: undefined,
            startedAtMs: 0,
            restartAtMs: this.nowMs,
            frozenUntilMs: 0,
            group: 0,
            sequence: 0,
            sentAtMs: 0,
            isChanged: false,
            inbox: [],
            heard: new Map(),
            waiting: 0,
            faultAtMs: -Infinity,
            toldAtMs: undefined,
        }));
    }

    kill(sender: Sender, downMs: number): void {
        sender.limiter = undefined;
        sender.inbox = [];
        sender.waiting = 0;
        sender.heard.clear();
        sender.toldAtMs = undefined;
        sender.restartAtMs = this.nowMs + downMs;
        sender.faultAtMs = this.nowMs + downMs;
    }

    freeze(sender: Sender, lastsMs: number): void {
        sender.frozenUntilMs = this.nowMs + lastsMs;
        sender.faultAtMs = sender.frozenUntilMs;
    }

    /** Cuts senders from the others until `heal` is called. */
    cut(sender: Sender, group: number): void {
        sender.group = group;
    }

    heal(): void {
        this.senders.filter(({ group }) => group !== 0).forEach(sender => {
            sender.group = 0;
            sender.faultAtMs = this.nowMs;
        });
    }

    /** Advances the time; `rateOf` returns the requests that arrive at a sender each second. */
    run(durationMs: number, rateOf: (index: number) => number): void {
        const endMs = this.nowMs + durationMs;
        while (this.nowMs < endMs) {
            this.nowMs += STEP_MS;
            this.deliverResponses();
            this.senders.forEach((sender, index) => this.step(sender, rateOf(index)));
        }
    }

    /** Returns the maximum number of requests that reach the upstream in a window after `fromMs` from bound senders. */
    maxInWindow(windowMs: number, fromMs: number): number {
        const times = this.arrivals.filter(({ atMs, isBound }) => isBound && atMs >= fromMs).map(({ atMs }) => atMs);
        return times.reduce(
            (most, startMs, index) =>
                Math.max(most, times.slice(index).filter(atMs => atMs < startMs + windowMs).length),
            0,
        );
    }

    private step(sender: Sender, rate: number): void {
        if (sender.limiter === undefined) {
            if (this.nowMs >= sender.restartAtMs) {
                this.start(sender);
            }
            return;
        }
        if (this.nowMs < sender.frozenUntilMs) {
            return;
        }
        sender.waiting = Math.min(MAX_WAITING, sender.waiting + this.drawArrivals(rate));
        this.receive(sender);
        while (sender.waiting > 0 && sender.limiter.mayCall(this.upstream)) {
            this.send(sender, sender.limiter);
        }
        this.report(sender, sender.limiter);
    }

    private start(sender: Sender): void {
        sender.startedAtMs = this.nowMs;
        sender.sequence = 0;
        sender.limiter = new UpstreamRequestLimiter({
            clock: this.clock,
            random: this.random,
            logger: silentLogger,
            instanceName: sender.name,
            limitHeader: "limit",
            senders: () => this.senders.filter(other => other !== sender).map(({ name }) => name),
            isLive: name => this.nowMs <= (sender.heard.get(name)?.atMs ?? -Infinity) + REPORT_VALID_MS,
            waitingSenders: () =>
                [...sender.heard]
                    .filter(([, { atMs, waiting }]) => waiting > 0 && this.nowMs <= atMs + REPORT_VALID_MS)
                    .map(([name]) => name),
        });
    }

    private drawArrivals(rate: number): number {
        const expected = rate * STEP_MS / 1000;
        return Math.floor(expected) + (this.random.next() < expected % 1 ? 1 : 0);
    }

    private send(sender: Sender, limiter: UpstreamRequestLimiter): void {
        sender.waiting -= 1;
        sender.isChanged = true;
        limiter.onSent(this.upstream);
        const isTold = sender.toldAtMs !== undefined && this.nowMs >= sender.toldAtMs + TOLD_MARGIN_MS;
        const isCut = this.senders.some(other => other.group !== sender.group);
        const isExcused = isCut || this.nowMs < sender.faultAtMs + FAULT_MARGIN_MS;
        this.arrivals.push({ atMs: this.nowMs, sender, isBound: isTold && !isExcused });
        this.responses.push({
            atMs: this.nowMs + RESPONSE_MS,
            sender,
            startedAtMs: sender.startedAtMs,
            limit: this.limit,
        });
    }

    private deliverResponses(): void {
        const due = this.responses.filter(({ atMs, sender }) =>
            atMs <= this.nowMs && this.nowMs >= sender.frozenUntilMs
        );
        this.responses = this.responses.filter(response => !due.includes(response));
        due.filter(({ sender, startedAtMs }) => sender.limiter !== undefined && sender.startedAtMs === startedAtMs)
            .forEach(({ sender, limit }) => {
                sender.toldAtMs = limit === undefined ? undefined : sender.toldAtMs ?? this.nowMs;
                sender.limiter!.onResponse(this.upstream, headOf(limit));
            });
    }

    private receive(sender: Sender): void {
        const due = sender.inbox.filter(({ dueAtMs }) => dueAtMs <= this.nowMs);
        sender.inbox = sender.inbox.filter(({ dueAtMs }) => dueAtMs > this.nowMs);
        due.forEach(({ report, waiting }) => {
            sender.heard.set(report.instanceName, { atMs: this.nowMs, waiting });
            sender.limiter!.apply(report);
        });
    }

    private report(sender: Sender, limiter: UpstreamRequestLimiter): void {
        const intervalMs = sender.isChanged ? MIN_REPORT_INTERVAL_MS : HEARTBEAT_MS;
        if (this.nowMs < sender.sentAtMs + intervalMs) {
            return;
        }
        sender.sentAtMs = this.nowMs;
        sender.isChanged = sender.waiting > 0;
        sender.sequence += 1;
        const report = {
            instanceName: sender.name,
            startedAtMs: sender.startedAtMs,
            sequence: sender.sequence,
            upstreamUsage: limiter.usageToReport(),
        };
        this.senders
            .filter(other => other !== sender && other.group === sender.group && other.limiter !== undefined)
            .filter(() => this.random.next() >= this.opts.lossShare)
            .forEach(other =>
                other.inbox.push({
                    dueAtMs: this.nowMs + 1 + this.random.next() * this.opts.maxDelayMs,
                    report,
                    waiting: sender.waiting,
                })
            );
    }
}

function headOf(limit: number | undefined): ResponseHead {
    return {
        statusCode: HTTP_OK,
        headers: [],
        header: name => name === "limit" && limit !== undefined ? String(limit) : undefined,
    };
}
