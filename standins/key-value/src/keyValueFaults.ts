/** Faults of the stand-in. Its owner can change them at any time. */
export class KeyValueFaults {
    /** Delay of each call before it takes effect. */
    delayMs = 0;
    /** Delay of each response after the call took effect. */
    responseDelayMs = 0;
    private readonly onOutage: () => void;
    private readonly onExpireLease: (leaseId: string) => void;
    private hasOutage = false;
    private responsesToLose = 0;

    /**
     * @param opts.onOutage called when an outage starts
     * @param opts.onExpireLease called to end a lease early
     */
    constructor(opts: { onOutage: () => void; onExpireLease: (leaseId: string) => void; }) {
        this.onOutage = opts.onOutage;
        this.onExpireLease = opts.onExpireLease;
    }

    get outage(): boolean {
        return this.hasOutage;
    }

    /** While true, calls reject as unavailable. The watches fail when the outage starts. */
    set outage(value: boolean) {
        const begins = value && !this.hasOutage;
        this.hasOutage = value;
        if (begins) {
            this.onOutage();
        }
    }

    /** Makes the next `count` writes take effect and lose their responses. */
    loseNextResponses(count: number): void {
        this.responsesToLose = count;
    }

    /** Uses up one lost response. Returns whether the write that has just taken effect must lose its response. */
    consumeLostResponse(): boolean {
        if (this.responsesToLose === 0) {
            return false;
        }
        this.responsesToLose -= 1;
        return true;
    }

    /** Makes a lease expire now, as if its holder had been paused for too long. */
    expireLease(leaseId: string): void {
        this.onExpireLease(leaseId);
    }
}
