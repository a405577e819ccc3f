/** The part of the xstate JSON format that {@link Chart} interprets. */
export interface ChartDefinition {
    id: string;
    initial: string;
    states: {
        /** `type` is "final" where the chart ends in the state. */
        [state: string]: { type?: string; on?: { [event: string]: { target: string; }; }; };
    };
}
