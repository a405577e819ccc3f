/** How an upstream treats requests. */
export type UpstreamBehaviour = "healthy" | "slow" | "errors" | "cut" | "hang" | "garble";
