/** Stops everything that an instance does while it is paused, and for good once it is dead. */
export class InstanceGate {
    private isPaused = false;
    private isDead = false;
    private waiting: (() => void)[] = [];

    get dead(): boolean {
        return this.isDead;
    }

    get paused(): boolean {
        return this.isPaused;
    }

    pause(): void {
        this.isPaused = true;
    }

    resume(): void {
        this.isPaused = false;
        const actions = this.waiting;
        this.waiting = [];
        actions.forEach(action => this.run(action));
    }

    kill(): void {
        this.isDead = true;
        this.waiting = [];
    }

    /** Runs `action` now, once the instance is resumed, or never. */
    run(action: () => void): void {
        if (this.isDead) {
            return;
        }
        if (this.isPaused) {
            this.waiting.push(action);
            return;
        }
        action();
    }

    /** Resolves once the instance runs; never where it is dead. */
    pass(): Promise<void> {
        return new Promise(resolve => this.run(resolve));
    }
}
