import type { BatchItem } from "@knapweedwood/batch.items/batchItem";
import type { BatchResult } from "@knapweedwood/batch.items/batchResult";
import type { BatchSource } from "@knapweedwood/batch.items/batchSource";
import type { HeldItem } from "@knapweedwood/batch.items/heldItem";
import { pullItemsCall } from "@knapweedwood/batch.items/pullItemsCall";
import { reportResultsCall } from "@knapweedwood/batch.items/reportResultsCall";
import type { Clock } from "@knapweedwood/core.clock/clock";
import { sleep } from "@knapweedwood/core.clock/sleep";
import type { JobId } from "@knapweedwood/core.ids/jobId";
import type { ServiceName } from "@knapweedwood/core.ids/serviceName";
import type { Random } from "@knapweedwood/core.random/random";
import type { LinkEndpoint } from "@knapweedwood/links.calls/linkEndpoint";
import { singleFrame } from "@knapweedwood/links.calls/singleFrame";
import { setMaxListeners } from "node:events";

const CALL_TIMEOUT_MS = 10_000;
/** Pause before the next pull from an entry after an empty or failed pull; grows with each further one. */
const EMPTY_PULL_PAUSE_MS = 250;
const MAX_EMPTY_PULL_PAUSE_MS = 2000;
const FOLLOW_UP_PULL_DELAY_MS = 1000;
const REPORT_RETRY_DELAY_MS = 100;
const MAX_REPORT_RETRY_DELAY_MS = 2000;
const GROUP_SIZE_RESULTS = 64;

interface EntryPullState {
    /** Number of consecutive pulls that were empty or failed. */
    emptyCount: number;
    /** Earliest time of the next pull, in milliseconds since the Unix epoch. */
    notBeforeMs: number;
    /** Number of the last pull sent. */
    pullNumber: number;
    /** Number of the last pull whose response has arrived. */
    receivedNumber: number;
    isPulling: boolean;
}

interface LinkBatchSourceOptions {
    endpoint: LinkEndpoint;
    /** Returns the addresses of the live entry instances. */
    entries: () => string[];
    service: ServiceName;
    clock: Clock;
    random: Random;
}

/** Pulls items from the entries that own partitions and reports results to the owner of each job's partition. */
export class LinkBatchSource implements BatchSource {
    private readonly opts: LinkBatchSourceOptions;
    private readonly states = new Map<string, EntryPullState>();
    private readonly ownerOfJob = new Map<JobId, string>();
    private readonly held = new Map<string, HeldItem>();
    private readonly stopping = new AbortController();

    constructor(opts: LinkBatchSourceOptions) {
        this.opts = opts;
        setMaxListeners(0, this.stopping.signal);
    }

    /** Ends the retries of reports that no owner has accepted. */
    stop(): void {
        this.stopping.abort();
    }

    async pull(count: number): Promise<BatchItem[]> {
        const items: BatchItem[] = [];
        for (const address of this.entriesToPull()) {
            if (items.length >= count) {
                break;
            }
            items.push(...await this.pullFrom(address, count - items.length));
        }
        return items;
    }

    async report(results: BatchResult[]): Promise<void> {
        const jobIds = [...new Set(results.map(result => result.jobId))];
        const groups = jobIds.flatMap(jobId => splitIntoGroups(results.filter(result => result.jobId === jobId)));
        await Promise.all(groups.map(group => this.reportGroup(group)));
    }

    /** Returns the entries that may have work, in random order, with those that had work last time first. */
    private entriesToPull(): string[] {
        const nowMs = this.opts.clock.nowMs();
        return this.opts.entries()
            .filter(address => !this.stateOf(address).isPulling && this.stateOf(address).notBeforeMs <= nowMs)
            .map(address => ({ address, order: this.stateOf(address).emptyCount + this.opts.random.next() }))
            .sort((left, right) => left.order - right.order)
            .map(ranked => ranked.address);
    }

    private stateOf(address: string): EntryPullState {
        const state = this.states.get(address)
            ?? { emptyCount: 0, notBeforeMs: 0, pullNumber: 0, receivedNumber: 0, isPulling: false };
        this.states.set(address, state);
        return state;
    }

    private async pullFrom(address: string, count: number): Promise<BatchItem[]> {
        const state = this.stateOf(address);
        if (state.isPulling) {
            return [];
        }
        state.isPulling = true;
        try {
            const items = await this.request(address, state, count);
            items.forEach(item => this.trackHeld(item, address));
            this.recordPull(state, items.length);
            return items;
        }
        catch {
            this.recordPull(state, 0);
            this.scheduleFollowUpPull(address, state);
            return [];
        }
        finally {
            state.isPulling = false;
        }
    }

    private trackHeld(item: BatchItem, address: string): void {
        const { jobId, itemIndex, attempt } = item;
        this.ownerOfJob.set(jobId, address);
        this.held.set(heldKey(item), { jobId, itemIndex, attempt });
    }

    private async request(address: string, state: EntryPullState, count: number): Promise<BatchItem[]> {
        const { endpoint, service } = this.opts;
        const { receivedNumber } = state;
        const pullNumber = ++state.pullNumber;
        const link = endpoint.connect(address);
        const held = [...this.held.values()];
        const request = { service, count, pullNumber, receivedNumber, held };
        const { items } = await singleFrame(link.call(pullItemsCall, request, { timeoutMs: CALL_TIMEOUT_MS }));
        state.receivedNumber = pullNumber;
        return items;
    }

    /**
     * Pulls once more, without requesting items, unless another pull is sent first. From the next pull the owner
     * recognizes that the response was lost, and requeues its items.
     */
    private scheduleFollowUpPull(address: string, state: EntryPullState): void {
        const lostPullNumber = state.pullNumber;
        this.opts.clock.setTimer(FOLLOW_UP_PULL_DELAY_MS * (0.5 + this.opts.random.next()), () => {
            const isObsolete = state.pullNumber !== lostPullNumber || this.stopping.signal.aborted;
            if (!isObsolete && this.opts.entries().includes(address)) {
                void this.pullFrom(address, 0);
            }
        });
    }

    private recordPull(state: EntryPullState, itemCount: number): void {
        state.emptyCount = itemCount > 0 ? 0 : state.emptyCount + 1;
        const pauseMs = Math.min(MAX_EMPTY_PULL_PAUSE_MS, EMPTY_PULL_PAUSE_MS * state.emptyCount);
        state.notBeforeMs = itemCount > 0 ? 0 : this.opts.clock.nowMs() + pauseMs * (0.5 + this.opts.random.next() / 2);
    }

    /** Reports results of one job, with backoff, until an owner has accepted them. */
    private async reportGroup(results: BatchResult[]): Promise<void> {
        for (let attempt = 0; !this.stopping.signal.aborted; attempt++) {
            if (await this.reportOnce(results)) {
                results.forEach(result => this.held.delete(heldKey(result)));
                return;
            }
            const ceilingMs = Math.min(MAX_REPORT_RETRY_DELAY_MS, REPORT_RETRY_DELAY_MS * 2 ** Math.min(attempt, 8));
            const delayMs = ceilingMs * (0.5 + this.opts.random.next() / 2);
            await sleep(this.opts.clock, delayMs, this.stopping.signal);
        }
    }

    private async reportOnce(results: BatchResult[]): Promise<boolean> {
        const { jobId } = results[0];
        const lastOwner = this.ownerOfJob.get(jobId);
        const entries = this.opts.entries();
        const order = lastOwner === undefined
            ? entries
            : [lastOwner, ...entries.filter(address => address !== lastOwner)];
        for (const address of order) {
            const link = this.opts.endpoint.connect(address);
            const acceptedCount = await singleFrame(
                link.call(reportResultsCall, { results }, { timeoutMs: CALL_TIMEOUT_MS }),
            )
                .then(frame => frame.taken, () => 0);
            if (acceptedCount >= results.length) {
                this.ownerOfJob.set(jobId, address);
                return true;
            }
        }
        return false;
    }
}

function heldKey(item: { jobId: JobId; itemIndex: number; }): string {
    return `${item.jobId}/${item.itemIndex}`;
}

function splitIntoGroups(results: BatchResult[]): BatchResult[][] {
    return Array.from(
        { length: Math.ceil(results.length / GROUP_SIZE_RESULTS) },
        (_, index) => results.slice(index * GROUP_SIZE_RESULTS, (index + 1) * GROUP_SIZE_RESULTS),
    );
}
