/** The part of the xstate JSON format that {@link Chart} interprets. */
export interface ChartDefinition {
    id: string;
    initial: string;
    states: {
        [state: string]: { type?: "final"; on?: { [event: string]: { target: string; }; }; };
    };
}
