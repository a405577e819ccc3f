/** Faults of the stand-in. Changed at any time by its owner. */
export class KeyValueFaults {
    /** Delay of each call before it takes effect. */
    delayMs = 0;
    /** Delay of each answer after the call took effect. */
    responseDelayMs = 0;
    private readonly onOutage: () => void;
    private readonly onExpireLease: (leaseId: string) => void;
    private hasOutage = false;
    private responsesToLose = 0;

    /**
     * @param opts.onOutage called when an outage begins
     * @param opts.onLapse called to end a lease early
     */
    constructor(opts: { onOutage: () => void; onExpireLease: (leaseId: string) => void; }) {
        this.onOutage = opts.onOutage;
        this.onExpireLease = opts.onExpireLease;
    }

    get outage(): boolean {
        return this.hasOutage;
    }

    /** While true, calls are refused. Watches are lost when it begins. */
    set outage(value: boolean) {
        const begins = value && !this.hasOutage;
        this.hasOutage = value;
        if (begins) {
            this.onOutage();
        }
    }

    /** The next `count` writes take effect, but their answers are lost. */
    loseNextResponses(count: number): void {
        this.responsesToLose = count;
    }

    /** Whether the answer of the write that has just taken effect is lost. */
    consumeLostResponse(): boolean {
        if (this.responsesToLose === 0) {
            return false;
        }
        this.responsesToLose -= 1;
        return true;
    }

    /** Ends a lease now, as if its holder had been paused for too long. */
    expireLease(leaseId: string): void {
        this.onExpireLease(leaseId);
    }
}
