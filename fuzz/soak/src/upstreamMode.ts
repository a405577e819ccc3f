/** How an upstream treats requests. */
export type UpstreamMode = "healthy" | "slow" | "errors" | "cut" | "hang" | "garble";
