/** The ways that are compared: ours, first come first served before shared counts, and a plain forwarder. */
export type DecisionPolicy = "ours" | "first-come" | "forwarder";
