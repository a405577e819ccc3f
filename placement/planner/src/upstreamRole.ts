/** What an engine does of each request. */
export type UpstreamRole = "any" | "prefill" | "decode";
