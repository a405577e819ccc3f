import type { InstanceName } from "@knapweedwood/core.ids/instanceName";

/** Number of processes asked first. They include those that keep the origin unless the fleet has just changed. */
const FIRST_ASKED = 3;

/**
 * Decides which processes are asked for the origin of a stream. Asks the likely ones first and all others once these
 * don't know it, or don't respond in time.
 *
 * Load pattern: a gateway ends, and its callers resume all of its streams at other gateways at once.
 */
export class OriginLookup {
    private readonly candidates: readonly InstanceName[];
    private readonly unaware = new Set<InstanceName>();
    private askedCount = 0;

    /** @param candidates the processes that may know the origin, the most likely first, shape [processes] */
    constructor(candidates: readonly InstanceName[]) {
        this.candidates = candidates;
    }

    /** Whether every process has responded that it doesn't know the origin. */
    get isExhausted(): boolean {
        return this.unaware.size === this.candidates.length;
    }

    /** Returns the processes to ask at first, shape [processes]. */
    start(): InstanceName[] {
        this.askedCount = FIRST_ASKED;
        return this.candidates.slice(0, FIRST_ASKED);
    }

    /** Records that a process doesn't know the origin. Returns the processes to ask now, shape [processes]. */
    onUnaware(name: InstanceName): InstanceName[] {
        if (this.candidates.includes(name)) {
            this.unaware.add(name);
        }
        const isFirstRoundOver = this.candidates.slice(0, this.askedCount).every(asked => this.unaware.has(asked));
        return isFirstRoundOver ? this.askOthers() : [];
    }

    /** Returns all processes that have not responded, since a message may be lost, shape [processes]. */
    onRetryDue(): InstanceName[] {
        this.askedCount = this.candidates.length;
        return this.candidates.filter(name => !this.unaware.has(name));
    }

    private askOthers(): InstanceName[] {
        const others = this.candidates.slice(this.askedCount);
        this.askedCount = this.candidates.length;
        return others;
    }
}
