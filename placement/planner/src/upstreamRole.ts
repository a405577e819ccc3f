/** The phases of a request that an engine runs: prefill, decode, or any of them. */
export type UpstreamRole = "any" | "prefill" | "decode";
