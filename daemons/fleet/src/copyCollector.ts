import type { HoldOutcome } from "@knapweedwood/fleet.jobs/holdOutcome";
import type { HostPort } from "@knapweedwood/fleet.view/hostPort";

interface CopyCollectorOptions {
    /** Number of copies that must be synced to disk. */
    copies: number;
    /** Runners to ask, the preferred ones first, shape [runners]. */
    runners: readonly HostPort[];
    /** Asks a runner for a copy. Does not reject. */
    askRunner: (runner: HostPort) => Promise<HoldOutcome>;
}

/**
 * Collects the copies of one job. Asks as many runners as copies are missing, and for each one that makes none the
 * next, so that an outage doesn't put each job on every disk.
 */
export class CopyCollector {
    private readonly opts: CopyCollectorOptions;
    private readonly waiting: HostPort[];
    private readonly outcomes: HoldOutcome[] = [];
    private pending = 0;
    private resolve: (outcome: HoldOutcome) => void = () => undefined;

    constructor(opts: CopyCollectorOptions) {
        this.opts = opts;
        this.waiting = [...opts.runners];
    }

    /**
     * Resolves with `held` once there are enough copies, otherwise once all runners have responded.
     *
     * @param first the outcomes of runners that were asked before, shape [runners]
     */
    collect(first: readonly Promise<HoldOutcome>[]): Promise<HoldOutcome> {
        return new Promise(resolve => {
            this.resolve = resolve;
            first.forEach(outcome => this.track(outcome));
            this.ask(Math.max(0, this.opts.copies - first.length));
            this.settleIfDone();
        });
    }

    /** Asks one runner more, since one that was asked takes long. */
    hedge(): void {
        if (this.copiesMade < this.opts.copies) {
            this.ask(1);
        }
    }

    private get copiesMade(): number {
        return this.outcomes.filter(outcome => outcome === "held").length;
    }

    private ask(count: number): void {
        this.waiting.splice(0, count).forEach(runner => this.track(this.opts.askRunner(runner)));
    }

    private track(outcome: Promise<HoldOutcome>): void {
        this.pending += 1;
        void outcome.then(settled => {
            this.pending -= 1;
            this.outcomes.push(settled);
            if (settled !== "held") {
                this.hedge();
            }
            this.settleIfDone();
        });
    }

    private settleIfDone(): void {
        if (this.copiesMade >= this.opts.copies) {
            this.resolve("held");
        }
        else if (this.pending === 0) {
            const mayHaveCopy = this.outcomes.some(outcome => outcome === "held" || outcome === "unknown");
            this.resolve(mayHaveCopy ? "unknown" : "not-held");
        }
    }
}
