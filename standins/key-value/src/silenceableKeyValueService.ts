import type { ManualClock } from "@knapweedwood/core.clock/manualClock";
import { answerLostError } from "@knapweedwood/core.key-value/answerLostError";
import type { WatchBatch } from "@knapweedwood/core.key-value/watchBatch";
import { MemoryKeyValueService } from "./memoryKeyValueService.js";

/** Longest wait of a watch call without one of its own, in milliseconds. */
const DEFAULT_WAIT_MS = 4000;

interface WaitingCall {
    prefix: string;
    isSilent: boolean;
    cut: () => void;
}

/**
 * An in-memory key-value service that is polled for changes, as over HTTP: a watch call ends with a change or after its
 * wait. The connections of waiting calls can go silent or be cut, while all other calls work.
 */
export class SilenceableKeyValueService extends MemoryKeyValueService {
    /** Number of calls of `changes` and of watch calls so far. */
    changeCalls = 0;
    private readonly testClock: ManualClock;
    private readonly waiting = new Set<WaitingCall>();

    constructor(opts: { clock: ManualClock; }) {
        super(opts);
        this.testClock = opts.clock;
    }

    /** Silences the connections of the watch calls of a prefix that wait now. They fail when their wait ends. */
    silenceWatches(prefix: string): void {
        this.waitingFor(prefix).forEach(call => {
            call.isSilent = true;
        });
    }

    /** Cuts the connections of the watch calls of a prefix that wait now. */
    cutWatches(prefix: string): void {
        this.waitingFor(prefix).forEach(call => call.cut());
    }

    override changes(prefix: string, opts: { afterRevision: number; }): Promise<WatchBatch> {
        this.changeCalls += 1;
        return super.changes(prefix, opts);
    }

    override async *watch(
        prefix: string,
        opts: { afterRevision: number; signal: AbortSignal; waitMs?: number; },
    ): AsyncIterable<WatchBatch> {
        let { afterRevision } = opts;
        while (!opts.signal.aborted) {
            this.changeCalls += 1;
            const batch = await this.waitForChange(prefix, { ...opts, afterRevision });
            afterRevision = batch.revision;
            yield batch;
        }
    }

    private waitingFor(prefix: string): WaitingCall[] {
        return [...this.waiting].filter(call => call.prefix === prefix);
    }

    private async waitForChange(
        prefix: string,
        opts: { afterRevision: number; signal: AbortSignal; waitMs?: number; },
    ): Promise<WatchBatch> {
        const ending = new AbortController();
        const end = () => ending.abort();
        let isCut = false;
        const call: WaitingCall = {
            prefix,
            isSilent: false,
            cut: () => {
                isCut = true;
                ending.abort();
            },
        };
        this.waiting.add(call);
        opts.signal.addEventListener("abort", end, { once: true });
        const timer = this.testClock.setTimer(opts.waitMs ?? DEFAULT_WAIT_MS, end);
        try {
            for await (const batch of super.watch(prefix, { ...opts, signal: ending.signal })) {
                if (!call.isSilent) {
                    return batch;
                }
            }
            if (isCut || call.isSilent) {
                throw answerLostError("The connection of the watch was lost.");
            }
            return { revision: this.revision, puts: [], deletedKeys: [] };
        }
        finally {
            timer.cancel();
            opts.signal.removeEventListener("abort", end);
            this.waiting.delete(call);
        }
    }
}
