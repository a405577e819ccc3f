/** How an upstream treats requests. */
export type UpstreamMood = "healthy" | "slow" | "errors" | "cut" | "hang" | "garble";
