import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { type AnyStateMachine, createMachine, transition } from "xstate";
import type { ChartDefinition } from "./chartDefinition.js";

/** A flat state chart, interpreted from its definition in a JSON file. */
export class Chart<State extends string, Event extends string> {
    private readonly machine: AnyStateMachine;
    private readonly definition: ChartDefinition;

    constructor(definition: ChartDefinition) {
        this.definition = definition;
        this.machine = createMachine(definition as Parameters<typeof createMachine>[0]);
    }

    get initial(): State {
        return this.definition.initial as State;
    }

    /** All states, shape [states]. */
    states(): State[] {
        return Object.keys(this.definition.states) as State[];
    }

    /** Events that the state accepts, shape [events]. */
    events(state: State): Event[] {
        return Object.keys(this.stateDefinition(state).on ?? {}) as Event[];
    }

    accepts(state: State, event: Event): boolean {
        return this.events(state).includes(event);
    }

    isFinal(state: State): boolean {
        return this.stateDefinition(state).type === "final";
    }

    /** The state after `event`. Throws `CHART_EVENT_REFUSED` where the state does not accept it. */
    next(state: State, event: Event): State {
        if (!this.accepts(state, event)) {
            throw new KnapweedError("CHART_EVENT_REFUSED", `${this.definition.id}: ${event} in state ${state}`);
        }
        const [snapshot] = transition(this.machine, this.machine.resolveState({ value: state, context: {} }), {
            type: event,
        });
        return snapshot.value as State;
    }

    private stateDefinition(state: State): ChartDefinition["states"][string] {
        const found = this.definition.states[state];
        if (found === undefined) {
            throw new KnapweedError("CHART_STATE_UNKNOWN", `${this.definition.id}: no state ${state}`);
        }
        return found;
    }
}
