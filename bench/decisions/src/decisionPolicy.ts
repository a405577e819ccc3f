/** The compared policies: the gateway's own, first come, first served with shared counts, and a plain forwarder. */
export type DecisionPolicy = "ours" | "first-come" | "forwarder";
