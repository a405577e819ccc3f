/** Stops everything that an instance does while it is paused, and for good once it is dead. */
export class InstanceLifecycle {
    private isPaused = false;
    private isDead = false;
    private deferredActions: (() => void)[] = [];

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
        const actions = this.deferredActions;
        this.deferredActions = [];
        actions.forEach(action => this.run(action));
    }

    kill(): void {
        this.isDead = true;
        this.deferredActions = [];
    }

    /** Runs `action` now, once the instance is resumed, or never. */
    run(action: () => void): void {
        if (this.isDead) {
            return;
        }
        if (this.isPaused) {
            this.deferredActions.push(action);
            return;
        }
        action();
    }

    /** Resolves once the instance runs; never where it is dead. */
    whenRunning(): Promise<void> {
        return new Promise(resolve => this.run(resolve));
    }
}
