/** Controls whether a simulated instance runs. A pause defers its actions. A killed instance runs none. */
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

    /** Ends a pause and runs the deferred actions in their order. */
    resume(): void {
        this.isPaused = false;
        const actions = this.deferredActions;
        this.deferredActions = [];
        actions.forEach(action => this.run(action));
    }

    /** Ends the instance for good and drops its deferred actions. */
    kill(): void {
        this.isDead = true;
        this.deferredActions = [];
    }

    /** Runs `action` at once; at the end of the pause while paused; never once the instance is dead. */
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

    /** Resolves once the instance is not paused. Never settles where it is dead. */
    whenRunning(): Promise<void> {
        return new Promise(resolve => this.run(resolve));
    }
}
