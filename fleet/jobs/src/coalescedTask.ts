/** Runs a task for several callers at once. Each caller gets the result of a run that began after its call. */
export class CoalescedTask<Result> {
    private readonly task: () => Promise<Result>;
    private running: Promise<Result> | undefined;
    private next: Promise<Result> | undefined;

    constructor(task: () => Promise<Result>) {
        this.task = task;
    }

    /** Returns the result of the next run. Rejects if the run rejects. */
    run(): Promise<Result> {
        if (this.running === undefined) {
            return this.start();
        }
        const startNext = () => this.start();
        this.next ??= this.running.then(startNext, startNext);
        return this.next;
    }

    private start(): Promise<Result> {
        this.next = undefined;
        const run = this.task();
        this.running = run;
        const onEnded = () => {
            this.running = undefined;
        };
        run.then(onEnded, onEnded);
        return run;
    }
}
