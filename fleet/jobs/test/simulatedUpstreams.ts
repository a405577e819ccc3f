import type { Clock } from "@knapweedwood/core.clock/clock";
import type { Exchange } from "@knapweedwood/fleet.upstreams/exchange";
import type { ExchangeHandler } from "@knapweedwood/fleet.upstreams/exchangeHandler";
import type { ExchangeRequest } from "@knapweedwood/fleet.upstreams/exchangeRequest";
import type { Upstream } from "@knapweedwood/fleet.view/upstream";
import type { ProcessClock } from "./processClock.js";
import type { RunBehaviour } from "./runBehaviour.js";

const EVENT_MS = 10;
/** Numbers of events of the items, by their position in the job. Progress is stored from 25 events on. */
const EVENT_COUNTS = [1, 5, 30, 80];
const LAST_EVENT_ID_HEADER = "l";
const HTTP_OK = 200;
const STATUS_CODES: Partial<Record<RunBehaviour["kind"], number>> = { failed: 500, impossible: 422, "not-run": 503 };

/** The upstreams of a simulated fleet. They resume after the last event that a process has. */
export class SimulatedUpstreams {
    /** Behaviours of the runs to come, shape [runs]. All further runs complete. */
    behaviours: RunBehaviour[] = [];
    /** How each run of an item goes that can't be done, by the item. */
    readonly failing = new Map<string, "failed" | "impossible">();
    /** Numbers of runs after which an upstream said that the item can't be done, by item. */
    readonly impossible = new Map<string, number>();
    /** Numbers of failed runs by item. */
    readonly failures = new Map<string, number>();
    private readonly clock: Clock;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Returns the whole output of an item as an upstream with this software version writes it. */
    outputOf(itemId: string, softwareVersion: string): string {
        return this.eventsOf(itemId, softwareVersion).join("\n");
    }

    /** Runs an item for a process. */
    run(process: ProcessClock, upstream: Upstream, request: ExchangeRequest, handler: ExchangeHandler): Exchange {
        const itemId = request.requestId;
        const drawn = this.behaviours.shift() ?? { kind: "completed", events: 0, eventMs: EVENT_MS };
        const behaviour = { ...drawn, kind: this.failing.get(itemId) ?? drawn.kind };
        const idHeader = request.headers.indexOf(LAST_EVENT_ID_HEADER);
        const events = this.eventsOf(itemId, upstream.softwareVersion);
        const first = idHeader < 0 ? 0 : Number(request.headers[idHeader + 1]);
        const last = behaviour.kind === "completed"
            ? events.length
            : Math.min(first + behaviour.events, events.length - 1);
        let isAborted = false;
        const after = (delayMs: number, action: () => void) =>
            this.clock.setTimer(delayMs, () => process.run(() => isAborted ? undefined : action()));
        const writeNext = (id: number) => {
            if (id > last) {
                this.end(behaviour, { itemId, id, handler });
                return;
            }
            handler.onData(Buffer.from(`id: ${id}\ndata: ${events[id - 1]!}\n\n`));
            after(behaviour.eventMs, () => writeNext(id + 1));
        };
        after(EVENT_MS, () => {
            const statusCode = STATUS_CODES[behaviour.kind] ?? HTTP_OK;
            this.countOutcome(behaviour, itemId);
            handler.onHead({
                statusCode,
                headers: [],
                header: name => name === "p" || (name === "n" && behaviour.kind === "not-run") ? "yes" : undefined,
            });
            writeNext(statusCode === HTTP_OK ? first + 1 : last + 1);
        });
        return {
            abort: () => {
                isAborted = true;
            },
            pause: () => undefined,
            resume: () => undefined,
        };
    }

    private countOutcome({ kind }: RunBehaviour, itemId: string): void {
        if (kind === "impossible") {
            this.impossible.set(itemId, (this.impossible.get(itemId) ?? 0) + 1);
        }
        if (kind === "failed") {
            this.failures.set(itemId, (this.failures.get(itemId) ?? 0) + 1);
        }
    }

    private end({ kind }: RunBehaviour, run: { itemId: string; id: number; handler: ExchangeHandler; }): void {
        const { id, handler } = run;
        switch (kind) {
            case "silent":
                return;
            case "broken":
                handler.onFailure({ mayHaveRun: true, isUnreachable: false, isConnectionBroken: true, code: "BROKEN" });
                return;
            case "cut":
                handler.onData(Buffer.from(`id: ${id}\nda`));
                break;
            case "out-of-order":
                handler.onData(Buffer.from(`id: ${id + 1}\ndata: x\n\n`));
                break;
            default:
                break;
        }
        handler.onEnd("length");
    }

    private eventsOf(itemId: string, softwareVersion: string): string[] {
        const index = Number(itemId.split("-").at(-1));
        const count = EVENT_COUNTS[index % EVENT_COUNTS.length]!;
        return Array.from({ length: count }, (_, event) => `${itemId} ${softwareVersion} ${event}`);
    }
}
