/** Faults of the stand-in. Changed at any time by its owner. */
export class KeyValueFaults {
    /** Delay of each call before it takes effect. */
    delayMs = 0;
    /** Delay of each answer after the call took effect. */
    answerDelayMs = 0;
    private readonly onOutage: () => void;
    private readonly onLapse: (leaseId: string) => void;
    private isOut = false;
    private answersToLose = 0;

    /**
     * @param opts.onOutage called when an outage begins
     * @param opts.onLapse called to end a lease early
     */
    constructor(opts: { onOutage: () => void; onLapse: (leaseId: string) => void; }) {
        this.onOutage = opts.onOutage;
        this.onLapse = opts.onLapse;
    }

    get outage(): boolean {
        return this.isOut;
    }

    /** While true, calls are refused. Watches are lost when it begins. */
    set outage(value: boolean) {
        const begins = value && !this.isOut;
        this.isOut = value;
        if (begins) {
            this.onOutage();
        }
    }

    /** The next `count` writes take effect, but their answers are lost. */
    loseNextAnswers(count: number): void {
        this.answersToLose = count;
    }

    /** Whether the answer of the write that has just taken effect is lost. */
    takeLostAnswer(): boolean {
        if (this.answersToLose === 0) {
            return false;
        }
        this.answersToLose -= 1;
        return true;
    }

    /** Ends a lease now, as if its holder had been paused for too long. */
    lapseLease(leaseId: string): void {
        this.onLapse(leaseId);
    }
}
