import { KnapweedError } from "@knapweedwood/core.errors/knapweedError";
import { type AnyStateMachine, createMachine, transition } from "xstate";
import type { ChartDefinition } from "./chartDefinition.js";

/** A flat state chart that is interpreted from a definition in a JSON file. */
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

    /** Returns all states, shape [states]. */
    states(): State[] {
        return Object.keys(this.definition.states) as State[];
    }

    /** Returns the events that the state accepts, shape [events]. */
    events(state: State): Event[] {
        return Object.keys(this.stateDefinition(state).on ?? {}) as Event[];
    }

    accepts(state: State, event: Event): boolean {
        return this.events(state).includes(event);
    }

    isFinal(state: State): boolean {
        return this.stateDefinition(state).type === "final";
    }

    /** Returns the state after `event`. Throws `CHART_EVENT_REFUSED` if the state doesn't accept the event. */
    next(state: State, event: Event): State {
        if (!this.accepts(state, event)) {
            throw new KnapweedError(
                "CHART_EVENT_REFUSED",
                `State chart ${this.definition.id} doesn't accept the event ${event} in state ${state}`,
            );
        }
        const [snapshot] = transition(this.machine, this.machine.resolveState({ value: state, context: {} }), {
            type: event,
        });
        return snapshot.value as State;
    }

    private stateDefinition(state: State): ChartDefinition["states"][string] {
        const found = this.definition.states[state];
        if (found === undefined) {
            throw new KnapweedError("CHART_STATE_UNKNOWN", `State chart ${this.definition.id} has no state ${state}`);
        }
        return found;
    }
}
