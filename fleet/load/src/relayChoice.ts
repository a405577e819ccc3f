import type { InstanceName } from "@knapweedwood/core.ids/instanceName";

/** Time without a message after which a relay counts as silent, in milliseconds. */
const SILENT_AFTER_MS = 250;
/** Time for which a silent relay is not chosen, in milliseconds. */
const AVOID_SILENT_MS = 2000;

interface RelayState {
    /** Time of the first message sent to the relay that it has not responded to; undefined if there is none. */
    awaitedSinceMs: number | undefined;
    heardAtMs: number;
    silentUntilMs: number;
}

/**
 * Chooses the relays of a zone that this process sends to. No agreement is needed: a process relays for all who send
 * to it.
 *
 * Load pattern: a relay is killed, or its network is cut, while the load changes many times a second.
 */
export class RelayChoice {
    private readonly states = new Map<InstanceName, RelayState>();

    /** Records a relayed message of a process. */
    onHeard(name: InstanceName, nowMs: number): void {
        const state = this.stateOf(name);
        state.heardAtMs = nowMs;
        state.awaitedSinceMs = undefined;
        state.silentUntilMs = -Infinity;
    }

    /**
     * Returns the relays to send to, shape [relays]: the first that isn't silent, and until it is heard the next one too.
     *
     * @param ranked the processes that may relay, the preferred ones first, shape [processes]
     */
    choose(ranked: readonly InstanceName[], nowMs: number): InstanceName[] {
        const usable = ranked.filter(name => !this.isSilent(name, nowMs));
        const [first, second] = usable.length === 0 ? ranked : usable;
        const chosen = [first, first !== undefined && this.isHeard(first, nowMs) ? undefined : second]
            .filter(name => name !== undefined);
        chosen.forEach(name => {
            this.stateOf(name).awaitedSinceMs ??= nowMs;
        });
        return chosen;
    }

    private isHeard(name: InstanceName, nowMs: number): boolean {
        return nowMs < this.stateOf(name).heardAtMs + SILENT_AFTER_MS;
    }

    private isSilent(name: InstanceName, nowMs: number): boolean {
        const state = this.stateOf(name);
        const awaitedMs = nowMs - Math.max(state.awaitedSinceMs ?? nowMs, state.heardAtMs);
        if (awaitedMs >= SILENT_AFTER_MS) {
            state.silentUntilMs = nowMs + AVOID_SILENT_MS;
            state.awaitedSinceMs = undefined;
        }
        return nowMs < state.silentUntilMs;
    }

    private stateOf(name: InstanceName): RelayState {
        const state = this.states.get(name)
            ?? { awaitedSinceMs: undefined, heardAtMs: -Infinity, silentUntilMs: -Infinity };
        this.states.set(name, state);
        return state;
    }
}
