/**
 * The compared policies. `ours` is the gateway's policy. `first-come` serves requests in order of arrival and uses the
 * load reports of the other processes. `forwarder` forwards each request immediately.
 */
export type DecisionPolicy = "ours" | "first-come" | "forwarder";
