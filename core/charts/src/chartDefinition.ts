/** The part of the xstate JSON format that {@link Chart} interprets. */
export interface ChartDefinition {
    id: string;
    initial: string;
    states: {
        /** `type` is "final" for a state in which the chart ends. */
        [state: string]: { type?: string; on?: { [event: string]: { target: string; }; }; };
    };
}
